// Command jasminebay-plot draws the results of jasminebay experiment as SVG charts.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/jasminebay/jasminebay/internal/experiment"
	"github.com/jasminebay/jasminebay/internal/experiment/plot"
)

type options struct {
	Directory string `long:"directory" description:"where the drawings go" value-name:"DIR" default:"."`
	Args      struct {
		File string `positional-arg-name:"FILE" description:"results, as jasminebay experiment --output json prints them; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	var o options
	parser := flags.NewNamedParser("jasminebay-plot", flags.HelpFlag)
	parser.ShortDescription = "draws the results of jasminebay experiment as SVG"
	_, err := parser.AddGroup("options", "", &o)
	if err == nil {
		_, err = parser.Parse()
	}
	if err == nil {
		err = run(o, os.Stdin, os.Stdout)
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasminebay-plot:", err)
		os.Exit(1)
	}
}

func run(o options, in io.Reader, out io.Writer) error {
	if o.Args.File != "-" {
		f, err := os.Open(o.Args.File)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	var results []*experiment.Result
	if err := json.NewDecoder(in).Decode(&results); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	files, err := plot.Files(o.Directory, results)
	for _, file := range files {
		_, _ = fmt.Fprintln(out, file)
	}
	return err
}
