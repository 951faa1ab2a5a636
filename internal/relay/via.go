package relay

import "strings"

// viaProtocol stands before each name in a Via header.
const viaProtocol = "1.1 "

// formatVia formats a Via header that names the relays in path.
func formatVia(path []string) string {
	return viaProtocol + strings.Join(path, ", "+viaProtocol)
}

// parseVia returns the relays that Via headers name, as formatVia writes them.
// Elements of another form name no relay.
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
