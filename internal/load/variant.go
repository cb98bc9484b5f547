package load

import (
	"encoding/json"

	"github.com/jasminebay/jasminebay/pkg/document"
)

// Variant changes the document and the load for one run.
type Variant struct {
	// Policy, Placement and Guards replace what the document says; empty keeps it.
	Policy    string
	Placement string
	// Guards is on, off, or threshold for evictions without throttles, hold or budget.
	Guards string
	// Scale multiplies the rates of requests.
	Scale float64
	// Quiet runs no jobs.
	Quiet bool
}

// Name returns the variant's name for tables.
func (v Variant) Name() string {
	name := ""
	for _, part := range []string{v.Policy, v.Placement, v.Guards} {
		if part != "" && name != "" {
			name += " "
		}
		name += part
	}
	if v.Quiet {
		name += " no-jobs"
	}
	return name
}

// evictionsUnbounded is a budget that no run reaches.
const evictionsUnbounded = 1000

// apply returns the document of a variant.
func (v Variant) apply(raw []byte) ([]byte, *document.Document, error) {
	d, err := document.Parse(raw)
	if err != nil {
		return nil, nil, err
	}
	for i := range d.Services {
		if v.Policy != "" {
			d.Services[i].Routing.Policy = v.Policy
		}
	}
	if v.Placement != "" {
		d.Placement.Policy = v.Placement
	}
	switch v.Guards {
	case "off":
		d.Guards.Enabled = false
	case "threshold":
		d.Guards.ThrottleAt = d.Guards.EvictAt
		d.Guards.Hold = 0
		d.Guards.EvictionsPerMinute = evictionsUnbounded
	}
	raw, err = json.Marshal(d)
	if err != nil {
		return nil, nil, err
	}
	d, err = document.Parse(raw)
	return raw, d, err
}
