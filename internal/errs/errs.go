// Package errs annotates errors on their way out of a function.
package errs

import "github.com/cockroachdb/errors"

// Text returns the text of an error for a log line, or nothing for nil.
func Text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Annotate prefixes *err with the formatted text and does nothing if *err is nil.
// It is meant for one deferred call per function with a named error result.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = errors.WithMessagef(*err, format, args...)
	}
}
