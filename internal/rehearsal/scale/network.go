package scale

// originZone is the zone of the origin.
const originZone = 0

// zoneLink is a link from the clients of one zone to a server in the same or another zone.
type zoneLink struct {
	*link
	fromZone int
	toZone   int
	server   string // name of the server
}

// network holds the links of a run, which carry all control traffic, and the zones and regions that are cut off.
type network struct {
	zones           int
	regions         int
	byteCounters    byteCounters
	links           []*zoneLink
	lostZones       map[int]bool // cut off from all zones, even from themselves
	isolatedRegions map[int]bool // cut off from the other regions
}

func newNetwork(scenario *Scenario) *network {
	return &network{zones: scenario.Zones, regions: scenario.Regions, lostZones: map[int]bool{}, isolatedRegions: map[int]bool{}}
}

// open opens a link to a server at the address target. client is the name of the client that uses the link; if it is empty,
// each request names its client.
func (n *network) open(fromZone, toZone int, server, target, client string) (*zoneLink, error) {
	started, err := newLink(target, client, &n.byteCounters)
	if err != nil {
		return nil, err
	}
	opened := &zoneLink{link: started, fromZone: fromZone, toZone: toZone, server: server}
	n.links = append(n.links, opened)
	return opened, nil
}

// connected reports whether two zones can reach each other.
func (n *network) connected(zoneA, zoneB int) bool {
	if n.lostZones[zoneA] || n.lostZones[zoneB] {
		return false
	}
	regionA := RegionOf(zoneA, n.zones, n.regions)
	regionB := RegionOf(zoneB, n.zones, n.regions)
	return regionA == regionB || !n.isolatedRegions[regionA] && !n.isolatedRegions[regionB]
}

// applyCuts cuts the links between zones that cannot reach each other, and heals the others.
func (n *network) applyCuts() {
	for _, link := range n.links {
		link.setCut(!n.connected(link.fromZone, link.toZone))
	}
}

// retarget points all links to a server at its new address.
func (n *network) retarget(server, target string) {
	for _, link := range n.links {
		if link.server == server {
			link.setTarget(target)
		}
	}
}

// serverLoad returns, by the server's name, the number of bytes that it has sent and the number of open connections to it.
func (n *network) serverLoad() (sent, open map[string]int64) {
	sent = map[string]int64{}
	open = map[string]int64{}
	for _, link := range n.links {
		sent[link.server] += link.bytesSent.Load()
		open[link.server] += link.link.connections.Load()
	}
	return sent, open
}

func (n *network) close() {
	for _, link := range n.links {
		link.close()
	}
}
