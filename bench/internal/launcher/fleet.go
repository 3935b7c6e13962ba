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

// ErrFleet is the kind of every error about a fleet.
var ErrFleet = merry.Sentinel("fleet is not as planned")

const (
	endGrace    = 5 * time.Second
	readyPause  = 50 * time.Millisecond
	probeLimit  = time.Second
	logTailSize = 600
)

// Plan says which processes a fleet has.
type Plan struct {
	Programs string // folder of the programs
	Folder   string // for settings, logs, journals and the keepers' data
	Zones    []ZonePlan
	// Scheduling and Trace go to the routers' settings.
	Scheduling string
	Trace      string
	// Wire, if set, replaces the address by which others reach a process.
	Wire Wire
}

// ZonePlan is one availability zone's processes.
type ZonePlan struct {
	Name     string
	Keepers  int
	Routers  int
	Standins []StandinSettings
}

// Wire puts something, such as a relay, in front of an address.
type Wire func(node *Node, port Port, inner netip.AddrPort) (netip.AddrPort, error)

// Port is one of a process's two listeners.
type Port string

// The listeners of a process.
const (
	Public  Port = "public"
	Control Port = "control"
)

// Role is what a process is.
type Role string

// The roles of processes.
const (
	Keeper  Role = "keeper"
	Router  Role = "router"
	Standin Role = "standin"
)

// Node is one process's place in the fleet. The process can be started again.
type Node struct {
	Name    string
	Role    Role
	Zone    string
	Listen  netip.AddrPort // public
	Control netip.AddrPort
	// reached and controlled are where others reach it.
	reached    netip.AddrPort
	controlled netip.AddrPort
	Standin    StandinSettings // of a stand-in
	settings   any
	fleet      *Fleet
	process    atomic.Pointer[Process]
}

// Process returns the node's process, which is replaced when it is started
// again, and nil before the first start.
func (n *Node) Process() *Process { return n.process.Load() }

// Running tells whether the node has a process that has not ended.
func (n *Node) Running() bool {
	process := n.Process()
	return process != nil && process.Running()
}

// URL returns the base URL of the public listener.
func (n *Node) URL() string { return "http://" + n.Listen.String() }

// Fleet is a set of running processes.
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

// Prepare lays a fleet out without starting it.
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

func (f *Fleet) add(node *Node) error {
	node.fleet = f
	var err error
	if node.Listen, err = f.ports.take(); err != nil {
		return err
	}
	if node.Control, err = f.ports.take(); err != nil {
		return err
	}
	node.reached, node.controlled = node.Listen, node.Control
	if f.Plan.Wire != nil {
		if node.reached, err = f.Plan.Wire(node, Public, node.Listen); err != nil {
			return err
		}
		if node.controlled, err = f.Plan.Wire(node, Control, node.Control); err != nil {
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

// Node returns the node of that name.
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

func (f *Fleet) configure(node *Node) {
	switch node.Role {
	case Keeper:
		node.settings = f.keeper(node)
	case Router:
		node.settings = f.router(node)
	case Standin:
		node.settings = f.standin(node)
	}
}

func (f *Fleet) keeper(node *Node) *keeperSettings {
	keepers := make(map[string]netip.AddrPort)
	for _, keeper := range f.Of(Keeper) {
		keepers[keeper.Name] = keeper.controlled
	}
	settings := &keeperSettings{
		Name: node.Name, Zone: node.Zone, Listen: node.Listen, Control: node.Control, Keepers: keepers,
		Data: f.DataOf(node), Secret: FleetSecret,
	}
	if node.controlled != node.Control {
		settings.Advertise = node.controlled.String()
	}
	return settings
}

// DataOf returns a keeper's data folder.
func (f *Fleet) DataOf(keeper *Node) string {
	return filepath.Join(f.Plan.Folder, keeper.Name+".data")
}

func (f *Fleet) router(node *Node) *routerSettings {
	settings := &routerSettings{
		Name: node.Name, Zone: node.Zone, Listen: node.Listen, Control: node.Control, Secret: FleetSecret,
		EndpointToken: EndpointToken, OperatorToken: OperatorToken, Scheduling: f.Plan.Scheduling, Trace: f.Plan.Trace,
	}
	if node.controlled != node.Control {
		settings.Advertise = node.controlled.String()
	}
	for _, peer := range f.Of(Router) {
		if peer != node {
			settings.Peers = append(settings.Peers, peer.controlled)
		}
	}
	for _, near := range []bool{true, false} {
		for _, keeper := range f.Of(Keeper) {
			if (keeper.Zone == node.Zone) == near {
				settings.Keepers = append(settings.Keepers, keeper.controlled)
			}
		}
	}
	return settings
}

func (f *Fleet) standin(node *Node) *StandinSettings {
	settings := node.Standin
	settings.Listen, settings.EndpointToken = node.Listen, EndpointToken
	settings.Journal = f.JournalOf(node)
	if node.reached != node.Listen {
		settings.Address = &node.reached
	}
	for _, router := range f.In(node.Zone, Router) {
		settings.Routers = append(settings.Routers, router.reached)
	}
	return &settings
}

// JournalOf returns the file in which a stand-in's executions are.
func (f *Fleet) JournalOf(standin *Node) string {
	return filepath.Join(f.Plan.Folder, standin.Name+".journal")
}

// Start starts every process.
func (f *Fleet) Start() error {
	for _, node := range f.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the node's process, or starts it again.
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

// Join makes the keeper start as a new member that joins the running group.
func (n *Node) Join() {
	if settings, isKeeper := n.settings.(*keeperSettings); isKeeper {
		settings.Join = true
	}
}

// AwaitReady waits until every process of the system answers that it is ready.
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

// AwaitReady waits until the process answers that it is ready.
func (n *Node) AwaitReady(ctx context.Context) error {
	told := "no answer"
	for {
		status, text := n.probe(ctx)
		if status == http.StatusOK {
			return nil
		}
		if status != 0 {
			told = fmt.Sprintf("%d %s", status, text)
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("%w: %s is not ready: %s; its log ends: %s", ErrFleet, n.Name, told, n.Tail())
		case <-n.Process().Ended():
			return merry.Errorf("%w: %s has ended with status %d; its log ends: %s",
				ErrFleet, n.Name, n.Process().Status(), n.Tail())
		case <-time.After(readyPause):
		}
	}
}

func (n *Node) probe(ctx context.Context) (status int, text string) {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
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
	body, _ := io.ReadAll(io.LimitReader(response.Body, logTailSize))
	return response.StatusCode, strings.TrimSpace(string(body))
}

// Tail returns the end of the process's log.
func (n *Node) Tail() string {
	text, err := os.ReadFile(n.Process().Log)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text[max(0, len(text)-logTailSize):]))
}

// Close ends every process: stand-ins and routers first, so that nothing
// fails for want of those that it depends on.
func (f *Fleet) Close() {
	for _, role := range []Role{Router, Standin, Keeper} {
		var ending sync.WaitGroup
		for _, node := range f.Of(role) {
			if node.Running() {
				ending.Go(func() { node.Process().End(endGrace) })
			}
		}
		ending.Wait()
	}
}
