// Package document defines the configuration document of an environment and validates it.
//
// A document is JSON with kebab-case names. Parse rejects unknown and duplicate fields and values
// that are out of range, and reports all faults at once, each with its path.
package document
