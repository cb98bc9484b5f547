package document

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the fault with its path.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// Faults is an error that lists all that is wrong with a document.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return fmt.Sprintf("document: %d fault(s): %s", len(f), strings.Join(lines, "; "))
}

func (f *Faults) add(path, format string, args ...any) {
	*f = append(*f, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}
