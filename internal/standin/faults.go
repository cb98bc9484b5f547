package standin

import (
	"encoding/json"
	"net/http"
)

// FaultsHandler serves a PUT of faults as JSON and gives them to set.
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
