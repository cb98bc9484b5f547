package document

import (
	"fmt"
	"slices"
)

// CheckChange reports whether next may replace d: it returns nil, or a Faults if next removes a data
// centre or lowers its number of cells. A cell stores the jobs that it has accepted, so removing one
// would leave its jobs without an owner.
func (d *Document) CheckChange(next *Document) error {
	var faults Faults
	for _, before := range d.DataCentres {
		i := slices.IndexFunc(next.DataCentres, func(dc DataCentre) bool { return dc.Name == before.Name })
		switch {
		case i < 0:
			faults = append(faults, Fault{
				Path:    "$.data-centres",
				Message: fmt.Sprintf("%s is in force and missing, so that the jobs of its cells would be left without an owner; one that is gone stays listed", before.Name),
			})
		case next.DataCentres[i].Cells < before.Cells:
			faults = append(faults, Fault{
				Path:    fmt.Sprintf("$.data-centres[%d].cells", i),
				Message: fmt.Sprintf("%d is less than the %d in force, whose jobs would be left without an owner", next.DataCentres[i].Cells, before.Cells),
			})
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}
