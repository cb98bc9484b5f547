// Package errs adds context to errors that a function returns.
package errs

import "github.com/cockroachdb/errors"

// Text returns the message of err for a log line, or "" if err is nil.
func Text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Annotate prefixes *err with the formatted text, unless *err is nil. It is meant to be
// deferred, once per function, with the function's named error result.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = errors.WithMessagef(*err, format, args...)
	}
}
