package childprocess

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ResidentKiB returns the resident memory of a process in KiB; 0 if it is not known, as of a process that has ended.
func ResidentKiB(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	number, _, _ := strings.Cut(rest, "kB")
	resident, _ := strconv.ParseInt(strings.TrimSpace(number), 10, 64) // missing: 0
	return resident
}
