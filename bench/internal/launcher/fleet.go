package launcher

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrFleet is the base of every error about a fleet.
var ErrFleet = merry.Sentinel("fleet is not as planned")

const (
	stopGrace         = 5 * time.Second
	readyPollInterval = 50 * time.Millisecond
	probeTimeout      = time.Second
	logTailBytes      = 600
)

// Plan describes the processes of a fleet.
type Plan struct {
	Programs string // folder of the executables
	Folder   string // for settings, logs, journals and the keepers' data
	Zones    []ZonePlan
	// Scheduling and Trace are copied to the routers' settings.
	Scheduling string
	Trace      string
	// Wire, if set, replaces the addresses that processes advertise to others.
	Wire Wire
}

// ZonePlan describes the processes of one availability zone.
type ZonePlan struct {
	Name     string
	Keepers  int // number of keepers
	Routers  int // number of routers
	Standins []StandinSettings
}

// Wire returns the address at which other processes reach a listener of a node, for
// example that of a relay; inner is the address on which the process listens.
type Wire func(node *Node, port Port, inner netip.AddrPort) (netip.AddrPort, error)

// Port names one of the two listeners of a process.
type Port string

// The listeners of a process.
const (
	Public  Port = "public"
	Control Port = "control"
)

// Role is the program that a process runs; its value is the executable's name.
type Role string

// The roles of processes.
const (
	Keeper  Role = "keeper"
	Router  Role = "router"
	Standin Role = "standin"
)

// Node is a member of the fleet with fixed settings. Its process can be restarted
// any number of times.
type Node struct {
	Name    string
	Role    Role
	Zone    string
	Listen  netip.AddrPort // of the public listener
	Control netip.AddrPort // of the control listener
	// advertisedListen and advertisedControl are the addresses at which others reach
	// the two listeners. They differ from Listen and Control behind relays.
	advertisedListen  netip.AddrPort
	advertisedControl netip.AddrPort
	Standin           StandinSettings // as in the plan; of a stand-in only
	settings          any             // of the process; encoded as JSON at each start
	fleet             *Fleet
	process           atomic.Pointer[Process]
}

// Process returns the node's current process, and nil before the first start. A
// restart replaces it.
func (n *Node) Process() *Process { return n.process.Load() }

// Running reports whether the node has a process that has not ended.
func (n *Node) Running() bool {
	process := n.Process()
	return process != nil && process.Running()
}

// URL returns the base URL of the public listener.
func (n *Node) URL() string { return "http://" + n.Listen.String() }

// Fleet is a set of nodes and their processes.
type Fleet struct {
	Plan  Plan
	Nodes []*Node
	ports ports
}

// Launch starts the processes of a plan and waits until they are ready.
func Launch(ctx context.Context, plan Plan) (*Fleet, error) {
	f, err := Prepare(plan)
	if err != nil {
		return nil, err
	}
	if err := f.Start(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.AwaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Prepare assigns ports and settings to the nodes of a plan without starting any
// process.
func Prepare(plan Plan) (*Fleet, error) {
	f := &Fleet{Plan: plan}
	defer f.ports.release()
	for _, zone := range plan.Zones {
		for range zone.Keepers {
			if err := f.add(&Node{Role: Keeper, Zone: zone.Name, Name: fmt.Sprintf("keeper-%d", 1+len(f.Of(Keeper)))}); err != nil {
				return nil, err
			}
		}
		for i := range zone.Routers {
			if err := f.add(&Node{Role: Router, Zone: zone.Name, Name: fmt.Sprintf("router-%s-%d", zone.Name, i+1)}); err != nil {
				return nil, err
			}
		}
		for _, standin := range zone.Standins {
			if err := f.add(&Node{Role: Standin, Zone: zone.Name, Name: standin.Name, Standin: standin}); err != nil {
				return nil, err
			}
		}
	}
	for _, node := range f.Nodes {
		f.configure(node)
	}
	return f, nil
}

// add reserves the ports of a node and appends it to the fleet.
func (f *Fleet) add(node *Node) error {
	node.fleet = f
	var err error
	if node.Listen, err = f.ports.reserve(); err != nil {
		return err
	}
	if node.Control, err = f.ports.reserve(); err != nil {
		return err
	}
	node.advertisedListen, node.advertisedControl = node.Listen, node.Control
	if f.Plan.Wire != nil {
		if node.advertisedListen, err = f.Plan.Wire(node, Public, node.Listen); err != nil {
			return err
		}
		if node.advertisedControl, err = f.Plan.Wire(node, Control, node.Control); err != nil {
			return err
		}
	}
	f.Nodes = append(f.Nodes, node)
	return nil
}

// Of returns the nodes of a role, in the order of the plan.
func (f *Fleet) Of(role Role) []*Node {
	var nodes []*Node
	for _, node := range f.Nodes {
		if node.Role == role {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// In returns the nodes of a role in a zone.
func (f *Fleet) In(zone string, role Role) []*Node {
	var nodes []*Node
	for _, node := range f.Of(role) {
		if node.Zone == zone {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Node returns the node with this name.
func (f *Fleet) Node(name string) (*Node, bool) {
	for _, node := range f.Nodes {
		if node.Name == name {
			return node, true
		}
	}
	return nil, false
}

// Targets returns the routers' base URLs.
func (f *Fleet) Targets() []string {
	var targets []string
	for _, router := range f.Of(Router) {
		targets = append(targets, router.URL())
	}
	return targets
}

// configure sets the settings of a node; it needs the addresses of all nodes.
func (f *Fleet) configure(node *Node) {
	switch node.Role {
	case Keeper:
		node.settings = f.settingsOfKeeper(node)
	case Router:
		node.settings = f.settingsOfRouter(node)
	case Standin:
		node.settings = f.settingsOfStandin(node)
	}
}

func (f *Fleet) settingsOfKeeper(node *Node) *keeperSettings {
	keepers := make(map[string]netip.AddrPort)
	for _, keeper := range f.Of(Keeper) {
		keepers[keeper.Name] = keeper.advertisedControl
	}
	settings := &keeperSettings{
		Name: node.Name, Zone: node.Zone, Listen: node.Listen, Control: node.Control, Keepers: keepers,
		Data: f.DataOf(node), Secret: FleetSecret,
	}
	if node.advertisedControl != node.Control {
		settings.Advertise = node.advertisedControl.String()
	}
	return settings
}

// DataOf returns a keeper's data folder.
func (f *Fleet) DataOf(keeper *Node) string {
	return filepath.Join(f.Plan.Folder, keeper.Name+".data")
}

func (f *Fleet) settingsOfRouter(node *Node) *routerSettings {
	settings := &routerSettings{
		Name: node.Name, Zone: node.Zone, Listen: node.Listen, Control: node.Control, Secret: FleetSecret,
		EndpointToken: EndpointToken, OperatorToken: OperatorToken, Scheduling: f.Plan.Scheduling, Trace: f.Plan.Trace,
	}
	if node.advertisedControl != node.Control {
		settings.Advertise = node.advertisedControl.String()
	}
	for _, peer := range f.Of(Router) {
		if peer != node {
			settings.Peers = append(settings.Peers, peer.advertisedControl)
		}
	}
	// The keepers of the router's own zone come first.
	for _, sameZone := range []bool{true, false} {
		for _, keeper := range f.Of(Keeper) {
			if (keeper.Zone == node.Zone) == sameZone {
				settings.Keepers = append(settings.Keepers, keeper.advertisedControl)
			}
		}
	}
	return settings
}

func (f *Fleet) settingsOfStandin(node *Node) *StandinSettings {
	settings := node.Standin
	settings.Listen, settings.EndpointToken = node.Listen, EndpointToken
	settings.Journal = f.JournalOf(node)
	if node.advertisedListen != node.Listen {
		settings.Address = &node.advertisedListen
	}
	for _, router := range f.In(node.Zone, Router) {
		settings.Routers = append(settings.Routers, router.advertisedListen)
	}
	return &settings
}

// JournalOf returns the file to which a stand-in writes its executions.
func (f *Fleet) JournalOf(standin *Node) string {
	return filepath.Join(f.Plan.Folder, standin.Name+".journal")
}

// Start starts the process of every node.
func (f *Fleet) Start() error {
	for _, node := range f.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the node's process for the first time or once more.
func (n *Node) Start() error {
	if n.Role == Keeper {
		if err := os.MkdirAll(n.fleet.DataOf(n), folderMode); err != nil {
			return merry.Errorf("%w: %v; check the data folder", ErrFleet, err)
		}
	}
	process, err := Start(n.fleet.Plan.Folder, n.Name, filepath.Join(n.fleet.Plan.Programs, string(n.Role)), n.settings)
	if err != nil {
		return err
	}
	n.process.Store(process)
	return nil
}

// Join makes a keeper join the running group as a new member at its next start.
func (n *Node) Join() {
	if settings, isKeeper := n.settings.(*keeperSettings); isKeeper {
		settings.Join = true
	}
}

// AwaitReady waits until every keeper and router reports that it is ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, role := range []Role{Keeper, Router} {
		for _, node := range f.Of(role) {
			if err := node.AwaitReady(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// AwaitReady waits until the process reports that it is ready. It fails when the
// process ends or the context is done, with the end of the log in the error.
func (n *Node) AwaitReady(ctx context.Context) error {
	lastAnswer := "no answer"
	for {
		status, text := n.probe(ctx)
		if status == http.StatusOK {
			return nil
		}
		if status != 0 {
			lastAnswer = fmt.Sprintf("%d %s", status, text)
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("%w: %s is not ready: %s; its log ends: %s", ErrFleet, n.Name, lastAnswer, n.Tail())
		case <-n.Process().Ended():
			return merry.Errorf("%w: %s has ended with status %d; its log ends: %s",
				ErrFleet, n.Name, n.Process().Status(), n.Tail())
		case <-time.After(readyPollInterval):
		}
	}
}

// probe requests /readyz and returns the status and the text of the answer, and a
// status of 0 without one.
func (n *Node) probe(ctx context.Context) (status int, text string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.URL()+"/readyz", nil)
	if err != nil {
		return 0, ""
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, logTailBytes))
	return response.StatusCode, strings.TrimSpace(string(body))
}

// Tail returns the end of the process's log.
func (n *Node) Tail() string {
	text, err := os.ReadFile(n.Process().Log)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(0, len(text)-logTailBytes):]))
}

// Close stops every process: routers first, then stand-ins, then keepers, so that no
// process loses a process that it depends on.
func (f *Fleet) Close() {
	for _, role := range []Role{Router, Standin, Keeper} {
		var ending sync.WaitGroup
		for _, node := range f.Of(role) {
			if node.Running() {
				ending.Go(func() { node.Process().End(stopGrace) })
			}
		}
		ending.Wait()
	}
}
