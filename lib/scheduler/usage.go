package scheduler

// Usage is the work of a pool by model, from which the host decides which
// models to load where.
type Usage struct {
	Models    map[string]ModelUsage
	Endpoints map[string]EndpointUsage
}

// ModelUsage counts the requests for one model that this pool schedules.
type ModelUsage struct {
	Waiting int
	Running int // including those at endpoints of other zones
}

// EndpointUsage is the work running at one endpoint.
type EndpointUsage struct {
	Models  map[string]int // requests and lent slots by model
	Foreign int            // requests that this pool did not send, as reported
}

// Usage returns the work by model. It iterates over all requests.
func (p *Pool) Usage() Usage {
	usage := Usage{Models: make(map[string]ModelUsage), Endpoints: make(map[string]EndpointUsage)}
	for _, e := range p.endpointsByIndex {
		if e != nil {
			usage.Endpoints[e.id] = EndpointUsage{Models: make(map[string]int), Foreign: e.foreign}
		}
	}
	for _, known := range p.routers {
		for _, r := range known.requests {
			usage.count(r)
		}
	}
	for _, l := range p.loanList {
		usage.occupy(l.endpoint.id, l.lane.key.model)
	}
	return usage
}

func (u Usage) count(r *request) {
	model := u.Models[r.lane.key.model]
	if r.running {
		model.Running++
	} else {
		model.Waiting++
	}
	u.Models[r.lane.key.model] = model
	if r.running && r.borrowing == nil {
		u.occupy(r.target, r.lane.key.model)
	}
}

func (u Usage) occupy(endpoint, model string) {
	if known, found := u.Endpoints[endpoint]; found {
		known.Models[model]++
	}
}
