package load

import (
	"encoding/json"

	"github.com/jasminebay/jasminebay/pkg/document"
)

// Variant modifies the document and the load for one run.
type Variant struct {
	// Policy is the routing policy, Placement the placement policy. An empty one leaves that of the
	// document.
	Policy    string
	Placement string
	// Guards is off, or threshold to evict at the threshold without throttling first, without hold and
	// without an eviction budget. With any other value the guards are as in the document.
	Guards string
	// Scale multiplies the request rates; 0 means 1.
	Scale float64
	// Quiet leaves out the jobs.
	Quiet bool
}

// Name returns the name of the variant in tables.
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

// unlimitedEvictions is an eviction budget per minute that no run exhausts.
const unlimitedEvictions = 1000

// apply returns the document as modified by the variant, encoded and parsed.
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
		d.Guards.EvictionsPerMinute = unlimitedEvictions
	}
	raw, err = json.Marshal(d)
	if err != nil {
		return nil, nil, err
	}
	d, err = document.Parse(raw)
	return raw, d, err
}
