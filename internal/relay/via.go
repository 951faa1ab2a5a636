package relay

import "strings"

// viaProtocol is the protocol version that precedes each name in a Via header.
const viaProtocol = "1.1 "

// formatVia formats a Via header that names the relays in path.
func formatVia(path []string) string {
	return viaProtocol + strings.Join(path, ", "+viaProtocol)
}

// parseVia returns the names of the relays in Via headers that were written by
// formatVia. Elements of another form are ignored.
func parseVia(headers []string) (path []string) {
	for _, header := range headers {
		for via := range strings.SplitSeq(header, ",") {
			name, ok := strings.CutPrefix(strings.TrimSpace(via), viaProtocol)
			if ok {
				path = append(path, name)
			}
		}
	}
	return path
}
