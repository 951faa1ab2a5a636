package scale

// This file owns the links of a run, and which of them are cut. Control traffic
// has no other way.

// originZone is the zone that the origin stands in.
const originZone = 0

// path is a link between two zones.
type path struct {
	*link
	from, to int // zones
	server   string
}

// network holds all links.
type network struct {
	zones, regions int
	book           ledger
	paths          []*path
	lostZones      map[int]bool
	lostRegions    map[int]bool // cut off from the other regions
}

func newNetwork(s *Scenario) *network {
	return &network{zones: s.Zones, regions: s.Regions, lostZones: map[int]bool{}, lostRegions: map[int]bool{}}
}

// open opens a link to a server; client names whose traffic it is, "" those that
// requests name.
func (n *network) open(from, to int, server, target, client string) (*path, error) {
	l, err := newLink(target, client, &n.book)
	if err != nil {
		return nil, err
	}
	p := &path{link: l, from: from, to: to, server: server}
	n.paths = append(n.paths, p)
	return p, nil
}

// joined tells whether two zones can reach each other.
func (n *network) joined(a, b int) bool {
	if n.lostZones[a] || n.lostZones[b] {
		return false
	}
	regionA, regionB := RegionOf(a, n.zones, n.regions), RegionOf(b, n.zones, n.regions)
	return regionA == regionB || !n.lostRegions[regionA] && !n.lostRegions[regionB]
}

// update cuts and heals links as the lost zones and regions say.
func (n *network) update() {
	for _, p := range n.paths {
		p.setCut(!n.joined(p.from, p.to))
	}
}

// retarget moves all links to a server to its new address.
func (n *network) retarget(server, target string) {
	for _, p := range n.paths {
		if p.server == server {
			p.aim(target)
		}
	}
}

// load is what each server has sent and how many connections it has.
func (n *network) load() (sent, open map[string]int64) {
	sent, open = map[string]int64{}, map[string]int64{}
	for _, p := range n.paths {
		sent[p.server] += p.sent.Load()
		open[p.server] += p.link.open.Load()
	}
	return sent, open
}

func (n *network) close() {
	for _, p := range n.paths {
		p.close()
	}
}
