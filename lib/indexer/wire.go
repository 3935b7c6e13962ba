package indexer

import (
	"cmp"
	"slices"

	"shallotkeel.example/lib/messenger"
)

// ToWire returns the messages for entries, ordered by engine. Only the first entry of each engine has
// its key: the key is nearly half of a message, and an answer has many entries of each engine.
func ToWire(holdings []Holding) []*messenger.Holding {
	if len(holdings) == 0 {
		return nil
	}
	sorted := slices.Clone(holdings)
	slices.SortFunc(sorted, func(a, b Holding) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Prefix, b.Prefix))
	})
	wire := make([]*messenger.Holding, 0, len(sorted))
	last := uint64(0)
	for _, holding := range sorted {
		message := &messenger.Holding{Prefix: holding.Prefix}
		if holding.Endpoint != last {
			message.Endpoint, last = holding.Endpoint, holding.Endpoint
		}
		wire = append(wire, message)
	}
	return wire
}

// FromWire returns the entries of messages, at most MaxReported. An entry without the key of an engine
// belongs to the engine of the entry before it.
func FromWire(wire []*messenger.Holding) []Holding {
	wire = wire[:min(len(wire), MaxReported)]
	holdings := make([]Holding, 0, len(wire))
	last := uint64(0)
	for _, message := range wire {
		if message.GetEndpoint() != 0 {
			last = message.GetEndpoint()
		}
		if last != 0 {
			holdings = append(holdings, Holding{Prefix: message.GetPrefix(), Endpoint: last})
		}
	}
	return holdings
}
