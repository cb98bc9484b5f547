package document

import "fmt"

// CheckChange returns the faults of putting next in the place of d, or nil. A cell keeps the
// jobs that it has accepted, so the number of a data centre's cells does not shrink.
func (d *Document) CheckChange(next *Document) error {
	var faults Faults
	for i, dc := range next.DataCentres {
		if !d.hasDataCentre(dc.Name) {
			continue
		}
		if before := d.Cells(dc.Name); max(dc.Cells, 1) < before {
			faults = append(faults, Fault{
				Path:    fmt.Sprintf("$.data-centres[%d].cells", i),
				Message: fmt.Sprintf("%d is less than the %d in force, whose jobs would be left without an owner", dc.Cells, before),
			})
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}

func (d *Document) hasDataCentre(name string) bool {
	for _, dc := range d.DataCentres {
		if dc.Name == name {
			return true
		}
	}
	return false
}
