package crannode

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// OrderSender are the calls to targets and about instances. Each returns within
// the time of its context.
type OrderSender interface {
	Start(ctx context.Context, e cransched.StartRun) cransched.Response
	Stop(ctx context.Context, e cransched.StopRun) cransched.Response
	Pace(ctx context.Context, e cransched.Throttle) cransched.Response
	Hold(ctx context.Context, e cransched.Heartbeat) cransched.HeartbeatResponse
	// Advise returns the tickets, and how long they hold; 0 if it isn't said.
	Advise(ctx context.Context, e cransched.RequestTickets) ([]cransched.Ticket, time.Duration, error)
	ListInstances(ctx context.Context) ([]cransched.InstanceInfo, error)
	Upkeep(ctx context.Context, e cransched.Maintain) cransched.CallStatus
	Move(ctx context.Context, e cransched.MoveInstance) cransched.CallStatus
	ReportWave(ctx context.Context, s cransched.WaveStatus) error
}

// Directory is what operators and targets write into the store.
type Directory struct {
	// Operator holds the configuration and the waves, Targets what targets
	// write of themselves.
	Operator, Targets cranstore.Topic
	// DecodeOperatorRecord returns a *Config, a *cransched.WaveOrder or nil.
	DecodeOperatorRecord func(key string, value []byte) (any, error)
	// DecodeTargetRecord returns what a target says of itself.
	DecodeTargetRecord func(id string, value []byte) (cransched.TargetInfo, error)
}
