// Package examples holds the documents, jobs and load files of the two users.
package examples

import "embed"

// Files holds the examples by name.
//
//go:embed *.json
var Files embed.FS
