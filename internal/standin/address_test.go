package standin

import (
	"testing"

	"github.com/matryer/is"
)

// TestFreeAddressesDiffer guards against two programs that are given one address, by one test
// process or by two, so that the second can't listen there.
func TestFreeAddressesDiffer(t *testing.T) {
	is := is.New(t)
	var other ports
	t.Cleanup(func() {
		for _, l := range other.claims {
			_ = l.Close()
		}
	})
	given := map[string]bool{}
	for range 400 {
		for _, free := range []func() (string, error){FreeAddress, other.free} {
			address, err := free()
			is.NoErr(err)
			is.True(!given[address]) // each address is given once
			given[address] = true
		}
	}
}
