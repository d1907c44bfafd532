package crannode

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// Topics are the topics of the job service; in the platform's store they are partitions.
// Each processes its appends one after the other, so appends of callers must not delay those
// of a scheduler while the store is slow.
type Topics struct {
	// Digest holds the layout, the claims and the states of all jobs. Every entry instance
	// reads it.
	Digest cranstore.Topic
	// Shard returns the topics of a shard.
	Shard func(number int) ShardTopics
	// Stripe returns a further partition for the submissions of a shard, numbered from 1, in a layout with a
	// number of shards. MaxStripes returns how many partitions a shard's submissions may have then. If it is nil,
	// they have one.
	Stripe     func(number, stripe, shards int) cranstore.Topic
	MaxStripes func(shards int) int
	// MaxShards is the number of shards for which there are topics.
	MaxShards int
}

// ShardTopics are the topics of one shard.
type ShardTopics struct {
	// Progress holds the owner's records. An owner reads it when it takes over.
	Progress cranstore.Topic
	// Submissions holds the accepted jobs and the cancellations. Every entry instance appends
	// to it, and the owner reads it. It is the first of the partitions if there are several.
	Submissions cranstore.Topic
}

// OrderSender sends orders to targets and calls the platform about instances. Each
// method returns before its context ends.
type OrderSender interface {
	StartRun(ctx context.Context, e cransched.StartRun) cransched.Response
	StopRun(ctx context.Context, e cransched.StopRun) cransched.Response
	Throttle(ctx context.Context, e cransched.Throttle) cransched.Response
	Heartbeat(ctx context.Context, e cransched.Heartbeat) cransched.HeartbeatResponse
	// RequestTickets returns the tickets for a step and how long they are valid. The
	// duration is 0 if the response does not contain one.
	RequestTickets(ctx context.Context, e cransched.RequestTickets) ([]cransched.Ticket, time.Duration, error)
	// ListInstances returns a page of the platform's list of instances, and the token of
	// the next page. The first page has an empty token, and so has the end of the list.
	ListInstances(ctx context.Context, page string) ([]cransched.InstanceInfo, string, error)
	Maintain(ctx context.Context, e cransched.Maintain) cransched.CallStatus
	MoveInstance(ctx context.Context, e cransched.MoveInstance) cransched.CallStatus
	// ReportWave tells the operator whether a wave is running or completed.
	ReportWave(ctx context.Context, wave int, completed bool) error
}

// Directory holds the topics that operators and targets write to the store, and the
// decoders of their records.
type Directory struct {
	// Operator holds the configuration and the waves, Targets the records in which
	// targets describe themselves.
	Operator, Targets cranstore.Topic
	// DecodeOperatorRecord returns a *Config, a *cransched.WaveOrder, or nil for a
	// record that is not used.
	DecodeOperatorRecord func(key string, value []byte) (any, error)
	// DecodeTargetRecord decodes the record in which a target describes itself.
	DecodeTargetRecord func(id string, value []byte) (cransched.TargetInfo, error)
}
