package main

import (
	_ "embed"
	"encoding/json"
	"io"
	"strings"
)

// wireText lists the names of the platform's wire, which Go code outside platform/ doesn't hold.
//
//go:embed wire.txt
var wireText string

var wire = readWire(wireText)

func readWire(text string) map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(text) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[name] = value
		}
	}
	return names
}

// readRunnerCall reads the body of a call to a runner.
func readRunnerCall(body io.Reader, c *runnerCall) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, c); err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	if field := fields[wire["token"]]; field != nil {
		if err := json.Unmarshal(field, &c.FencingToken); err != nil {
			return err
		}
	}
	if field := fields[wire["seen"]]; field != nil {
		return json.Unmarshal(field, &c.LastSeen)
	}
	return nil
}
