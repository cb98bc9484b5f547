package document

import (
	"fmt"
	"strings"
)

// Fault is a single error in a document.
type Fault struct {
	// Path is the place of the error in the document, such as $.services[0].kinds[1].timeout; $ is the
	// document as a whole.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message.
func (f Fault) String() string { return f.Path + ": " + f.Message }

// Faults is an error that lists all faults of a document. Use errors.As to get at them.
type Faults []Fault

// Error returns the number of faults and the faults, in one line.
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
