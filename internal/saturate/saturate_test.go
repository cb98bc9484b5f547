package saturate

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSaturate(t *testing.T) {
	is := is.New(t)
	is.Equal(Millis(1500), 1500*time.Millisecond)
	is.Equal(Millis(math.MaxInt64), Longest)
	is.Equal(Millis(math.MinInt64), -Longest)
	is.Equal(Of(1.5, time.Second), 1500*time.Millisecond)
	is.Equal(Of(1e300, time.Second), Longest)
	is.Equal(Of(-1e300, time.Second), -Longest)
	is.Equal(Of(math.Inf(1), time.Second), Longest)
	is.Equal(Of(math.NaN(), time.Second), time.Duration(0))
}
