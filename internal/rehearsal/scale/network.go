package scale

// originZone is the zone of the origin.
const originZone = 0

// path is a link between two zones.
type path struct {
	*link
	fromZone int
	toZone   int
	server   string
}

// network has all links of a run, through which all control traffic goes, and knows which of them are cut.
type network struct {
	zones       int
	regions     int
	ledger      ledger
	paths       []*path
	lostZones   map[int]bool
	lostRegions map[int]bool // cut off from the other regions
}

func newNetwork(scenario *Scenario) *network {
	return &network{zones: scenario.Zones, regions: scenario.Regions, lostZones: map[int]bool{}, lostRegions: map[int]bool{}}
}

// open opens a link to a server. client is the client whose traffic it carries; empty: requests name it.
func (n *network) open(fromZone, toZone int, server, target, client string) (*path, error) {
	started, err := newLink(target, client, &n.ledger)
	if err != nil {
		return nil, err
	}
	opened := &path{link: started, fromZone: fromZone, toZone: toZone, server: server}
	n.paths = append(n.paths, opened)
	return opened, nil
}

// connected reports whether two zones can reach each other.
func (n *network) connected(zoneA, zoneB int) bool {
	if n.lostZones[zoneA] || n.lostZones[zoneB] {
		return false
	}
	regionA := RegionOf(zoneA, n.zones, n.regions)
	regionB := RegionOf(zoneB, n.zones, n.regions)
	return regionA == regionB || !n.lostRegions[regionA] && !n.lostRegions[regionB]
}

// update cuts and heals links by the lost zones and regions.
func (n *network) update() {
	for _, link := range n.paths {
		link.setCut(!n.connected(link.fromZone, link.toZone))
	}
}

// retarget moves all links to a server to its new address.
func (n *network) retarget(server, target string) {
	for _, link := range n.paths {
		if link.server == server {
			link.setTarget(target)
		}
	}
}

// serverLoad returns the bytes that each server has sent and its open connections.
func (n *network) serverLoad() (sent, open map[string]int64) {
	sent = map[string]int64{}
	open = map[string]int64{}
	for _, link := range n.paths {
		sent[link.server] += link.sent.Load()
		open[link.server] += link.link.connections.Load()
	}
	return sent, open
}

func (n *network) close() {
	for _, link := range n.paths {
		link.close()
	}
}
