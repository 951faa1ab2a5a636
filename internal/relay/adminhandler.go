package relay

import (
	"encoding/json"
	"net/http"
)

// adminHandler serves the admin API.
type adminHandler struct{ state *state }

// ServeHTTP answers GET /control/membership with the status.
func (h adminHandler) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/control/membership" || request.Method != http.MethodGet {
		http.NotFound(response, request)
		return
	}
	query := statusMessage{make(chan Status, 1)}
	if !h.state.send(query) {
		respondUnavailable(response, errClosing)
		return
	}
	text, err := json.MarshalIndent(<-query.reply, "", "  ")
	if err != nil {
		http.Error(response, err.Error(), http.StatusInternalServerError)
		return
	}
	response.Header().Set("Content-Type", "application/json")
	response.Write(append(text, '\n'))
}
