package connlimit

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// View is the state of a Limiter as the admin API returns it. Admitted and Rejections
// count since the start; all other counts are present values.
type View struct {
	Open        map[string]int    `json:"open"`     // open connections by Stage
	Trust       map[string]int    `json:"standing"` // open connections by Trust
	Capacity    int               `json:"room"`     // Config.Capacity
	Reserve     int               `json:"reserve"`
	ReserveUsed int               `json:"reserve_used"` // part of the reserve that trusted connections use
	Pressure    Pressure          `json:"pressure"`
	Admitted    uint64            `json:"admitted"`
	Rejections  map[string]uint64 `json:"refused"` // rejections by Reason
	Addresses   int               `json:"addresses_remembered"`
	Learned     int               `json:"addresses_learned"`
	Prefixes    []PrefixView      `json:"top_prefixes"` // the prefixes with the most connections
	Blocks      []BlockView       `json:"bars"`
}

// PrefixView contains the counts of a prefix.
type PrefixView struct {
	Prefix   string `json:"prefix"`
	Open     int    `json:"open"`
	Opening  int    `json:"opening"`
	HalfRead int    `json:"half_read"`
	Bytes    int    `json:"bytes"`
}

// BlockView is a prefix that is blocked.
type BlockView struct {
	Prefix     string  `json:"prefix"`
	RemainingS float64 `json:"for_s"` // seconds until the block ends
}

const maxTopPrefixes = 10 // maximum length of View.Prefixes

// Snapshot returns the state of the Limiter.
func (l *Limiter) Snapshot(now time.Duration) View {
	l.mu.Lock()
	defer l.mu.Unlock()
	openTrusted := l.openByTrust[Known] + l.openByTrust[TrustedProxy] + min(l.openByTrust[Learned], l.config.learnedReserve())
	return View{
		Open:        l.openByStage(),
		Trust:       l.openByTrustName(),
		Capacity:    l.config.Capacity,
		Reserve:     l.config.Reserve,
		ReserveUsed: min(l.config.Reserve, openTrusted),
		Pressure:    l.pressure,
		Admitted:    l.admitted,
		Rejections:  l.rejectionsByName(),
		Addresses:   l.addresses.size,
		Learned:     l.addresses.learned,
		Prefixes:    l.topPrefixes(),
		Blocks:      l.activeBlocks(now),
	}
}

func (l *Limiter) openByStage() map[string]int {
	open := map[string]int{}
	for stage := range numStages {
		open[stage.String()] = 0
	}
	for i := range l.connections {
		connection := &l.connections[i]
		if connection.open {
			open[connection.stage.String()]++
		}
	}
	return open
}

func (l *Limiter) openByTrustName() map[string]int {
	open := map[string]int{}
	for trust, n := range l.openByTrust {
		open[Trust(trust).String()] = n
	}
	return open
}

func (l *Limiter) rejectionsByName() map[string]uint64 {
	rejections := map[string]uint64{}
	for reason, n := range l.rejections {
		if n > 0 {
			rejections[Reason(reason).String()] = n
		}
	}
	return rejections
}

func (l *Limiter) topPrefixes() []PrefixView {
	prefixes := []PrefixView{}
	for i := range l.prefixes.entries {
		entry := &l.prefixes.entries[i]
		if !entry.used || entry.open == 0 {
			continue
		}
		addr := entry.key.addr()
		prefixes = append(prefixes, PrefixView{
			Prefix:   netip.PrefixFrom(addr, l.config.prefixBits(addr)).String(),
			Open:     int(entry.open),
			Opening:  int(entry.opening),
			HalfRead: int(entry.halfRead),
			Bytes:    int(entry.bufferedBytes),
		})
	}
	slices.SortFunc(prefixes, func(a, b PrefixView) int {
		return cmp.Or(cmp.Compare(b.Open, a.Open), cmp.Compare(a.Prefix, b.Prefix))
	})
	return prefixes[:min(len(prefixes), maxTopPrefixes)]
}

func (l *Limiter) activeBlocks(now time.Duration) []BlockView {
	blocks := []BlockView{}
	for _, b := range l.blocks {
		if b.until > now {
			blocks = append(blocks, BlockView{b.prefix.String(), (b.until - now).Seconds()})
		}
	}
	return blocks
}
