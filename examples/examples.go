// Package examples embeds the example documents, jobs, load files and experiments.
package examples

import "embed"

// Files holds the examples; each is named NAME.json.
//
//go:embed *.json
var Files embed.FS
