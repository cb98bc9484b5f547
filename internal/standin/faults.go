package standin

import (
	"encoding/json"
	"net/http"
)

// FaultsHandler returns a handler that decodes the JSON body of a request and passes it to set.
// It answers 400 if the body cannot be decoded.
func FaultsHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var faults T
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(faults)
	}
}
