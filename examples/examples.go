// Package examples embeds example configuration documents, jobs, loads and experiments of two
// organisations, Verband and Passline.
package examples

import "embed"

// Files contains the examples by file name.
//
//go:embed *.json
var Files embed.FS
