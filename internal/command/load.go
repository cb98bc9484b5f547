package command

import (
	"context"
	"errors"
)

type loadCommand struct {
	ctx     context.Context
	streams streams
}

// Execute measures the system under load.
func (c *loadCommand) Execute([]string) error { return errors.New("load: not built yet") }
