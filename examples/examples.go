// Package examples embeds the example documents, jobs, load files and experiments.
package examples

import "embed"

// Files holds the example files.
//
//go:embed *.json
var Files embed.FS
