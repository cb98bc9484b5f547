package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/driver"
)

// TestOddRegistrations checks that a registration by another writer does not take the place of an entry's,
// nor make the others dial an address that there can't be.
func TestOddRegistrations(t *testing.T) {
	decode := func(value string) bool {
		_, ok := decodeRegistration(driver.NewItem("entries/e-1", []byte(value), 1))
		return ok
	}
	is := is.New(t)
	is.True(decode(`{"id":"e-1","data-centre":"a","address":"10.0.0.1:80","peers":"10.0.0.1:7000","instance":"x"}`))
	for _, value := range []string{
		`{"id":"e-2","peers":"10.0.0.1:7000"}`, `{"peers":"10.0.0.1:7000"}`, `{"id":"e-1","peers":"10.0.0.1:99999"}`,
		`{"id":"e-1","peers":"10.0.0.1:-1"}`, `{"id":"e-1","peers":"10.0.0.1:0"}`, `{"id":"e-1","peers":7}`,
		`{"id":1e400}`, `null`, ``, "\xff", strings.Repeat("[", 1_000_000),
	} {
		is.True(!decode(value))
	}
}
