package replicator

import (
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
)

// ErrMalformed is the kind of every decoding error.
var ErrMalformed = merry.Sentinel("replication data is malformed")

// EncodeGroup encodes a membership as the data of a Membership entry.
func EncodeGroup(group Group) []byte {
	return marshal(groupToWire(group))
}

// DecodeGroup decodes the data of a Membership entry. Its error is ErrMalformed.
func DecodeGroup(data []byte) (Group, error) {
	var wire messenger.ReplicaGroup
	if err := unmarshal(data, &wire); err != nil {
		return nil, err
	}
	return groupFromWire(&wire), nil
}

// EncodeMessages encodes messages to one replica as the body of one call.
func EncodeMessages(messages []Message) []byte {
	batch := &messenger.AgreementBatch{Messages: make([]*messenger.Agreement, 0, len(messages))}
	for _, message := range messages {
		batch.Messages = append(batch.Messages, messageToWire(message))
	}
	return marshal(batch)
}

// DecodeMessages is the inverse of EncodeMessages. A message that a Node could not
// process, such as an Install without snapshot or an Append whose entries have
// gaps, is an ErrMalformed.
func DecodeMessages(data []byte) ([]Message, error) {
	var batch messenger.AgreementBatch
	if err := unmarshal(data, &batch); err != nil {
		return nil, err
	}
	messages := make([]Message, 0, len(batch.GetMessages()))
	for _, wire := range batch.GetMessages() {
		message := messageFromWire(wire)
		if message.Kind == Install && message.Snapshot == nil {
			return nil, merry.Errorf("%w: Install message without snapshot", ErrMalformed)
		}
		for i, entry := range message.Entries {
			if entry.Index != message.Position.Index+1+uint64(i) {
				return nil, merry.Errorf("%w: entries of a message have gaps", ErrMalformed)
			}
		}
		messages = append(messages, message)
	}
	return messages, nil
}

// EntryToWire converts an entry to the form that is stored and sent.
func EntryToWire(entry Entry) *messenger.LogEntry {
	return &messenger.LogEntry{
		Index: entry.Index, Term: entry.Term, Kind: uint32(entry.Kind), Data: entry.Data,
	}
}

// EntryFromWire is the inverse of EntryToWire.
func EntryFromWire(wire *messenger.LogEntry) Entry {
	return Entry{
		Index: wire.GetIndex(), Term: wire.GetTerm(), Kind: EntryKind(wire.GetKind()), Data: wire.GetData(),
	}
}

// SnapshotToWire converts a snapshot to the form that is stored and sent.
func SnapshotToWire(snapshot Snapshot) *messenger.LogSnapshot {
	return &messenger.LogSnapshot{
		Index: snapshot.Index, Term: snapshot.Term,
		Group: groupToWire(snapshot.Group), State: snapshot.State,
	}
}

// SnapshotFromWire is the inverse of SnapshotToWire.
func SnapshotFromWire(wire *messenger.LogSnapshot) Snapshot {
	return Snapshot{
		Position: Position{Index: wire.GetIndex(), Term: wire.GetTerm()},
		Group:    groupFromWire(wire.GetGroup()),
		State:    wire.GetState(),
	}
}

func groupToWire(group Group) *messenger.ReplicaGroup {
	wire := &messenger.ReplicaGroup{}
	for _, replica := range group {
		wire.Replicas = append(wire.Replicas, &messenger.Replica{
			Id: uint64(replica.ID), Name: replica.Name, Address: replica.Address, Role: uint32(replica.Role),
		})
	}
	return wire
}

func groupFromWire(wire *messenger.ReplicaGroup) Group {
	var group Group
	for _, replica := range wire.GetReplicas() {
		group = append(group, Replica{
			ID: ID(replica.GetId()), Name: replica.GetName(),
			Address: replica.GetAddress(), Role: Role(replica.GetRole()),
		})
	}
	return group
}

func messageToWire(m Message) *messenger.Agreement {
	wire := &messenger.Agreement{
		Kind: uint32(m.Kind), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		Index: m.Position.Index, LogTerm: m.Position.Term, Commit: m.Commit,
		Stamp: int64(m.Stamp), Reject: m.Reject, Transfer: m.Transfer,
	}
	for _, entry := range m.Entries {
		wire.Entries = append(wire.Entries, EntryToWire(entry))
	}
	if m.Snapshot != nil {
		wire.Snapshot = SnapshotToWire(*m.Snapshot)
	}
	return wire
}

func messageFromWire(wire *messenger.Agreement) Message {
	m := Message{
		Kind: MessageKind(wire.GetKind()), From: ID(wire.GetFrom()), To: ID(wire.GetTo()), Term: wire.GetTerm(),
		Position: Position{Index: wire.GetIndex(), Term: wire.GetLogTerm()}, Commit: wire.GetCommit(),
		Stamp: time.Duration(wire.GetStamp()), Reject: wire.GetReject(), Transfer: wire.GetTransfer(),
	}
	for _, entry := range wire.GetEntries() {
		m.Entries = append(m.Entries, EntryFromWire(entry))
	}
	if wire.GetSnapshot() != nil {
		snapshot := SnapshotFromWire(wire.GetSnapshot())
		m.Snapshot = &snapshot
	}
	return m
}

// marshal panics on an error, which cannot occur: the messages have no required
// fields, and their strings are validated when they enter the process.
func marshal(message proto.Message) []byte {
	data, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return data
}

func unmarshal(data []byte, into proto.Message) error {
	if err := proto.Unmarshal(data, into); err != nil {
		return merry.Errorf("%w: %v; run keepers of one version", ErrMalformed, err)
	}
	return nil
}
