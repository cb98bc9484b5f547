package engine

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jasminebay/jasminebay/internal/flow/flowpb"
)

// fill sets each field of a struct to a value that is not its zero.
func fill(is *is.I, v reflect.Value) {
	for i := range v.NumField() {
		switch f := v.Field(i); f.Kind() {
		case reflect.String:
			f.SetString("x")
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Int, reflect.Int32, reflect.Int64:
			f.SetInt(7 * int64(time.Millisecond))
		case reflect.Uint32, reflect.Uint64:
			f.SetUint(7)
		case reflect.Float64:
			f.SetFloat(7)
		default:
			is.Fail() // a field of another kind
		}
	}
}

// TestTermsHoldQueue guards against a setting of a queue that is not stored with its jobs, as that for tickets was not in
// review/7: such a job lost the setting on its way through the inbox, or with the removal of its queue.
func TestTermsHoldQueue(t *testing.T) {
	is := is.New(t)
	var q Queue
	fill(is, reflect.ValueOf(&q).Elem())
	is.Equal(queueFromTerms(q.Name, q.Terms()), q)
	// Nor is there a term that no queue has.
	terms := q.Terms().ProtoReflect()
	fields := terms.Descriptor().Fields()
	for i := range fields.Len() {
		is.True(terms.Has(fields.Get(i)))
	}
	is.Equal(queueFromTerms("x", &flowpb.Terms{}), Queue{Name: "x"})
}
