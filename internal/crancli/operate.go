package crancli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
)

// pollInterval is the time between two requests for the status while a command
// waits for a configuration to come into force.
const pollInterval = 50 * time.Millisecond

// entryFlags select the entry instance that a command calls.
type entryFlags struct {
	Entry   string        `help:"Admin address of any entry instance." default:"http://127.0.0.1:9300" env:"CRANBERRYPICK_ENTRY"`
	Timeout time.Duration `help:"How long to wait for the outcome." default:"10s"`
}

func (f *entryFlags) client() *cranadmin.Client { return cranadmin.NewClient(f.Entry) }

func (f *entryFlags) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, f.Timeout)
}

type publishCommand struct {
	entryFlags
	Config string `arg:"" help:"Encoded configuration." type:"path"`
	Base   uint64 `help:"Revision that the configuration is based on; by default the one in force."`
	Wait   bool   `help:"Wait until every member has it in force."`
}

// Run publishes a configuration. Its revision is the offset after its record.
func (c *publishCommand) Run(ctx context.Context, o *output) error {
	config, err := loadConfig(c.Config)
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	client := c.client()
	if c.Base == 0 {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		c.Base = s.Revision
	}
	offset, err := client.Publish(ctx, c.Base, config.Encode())
	if err != nil {
		return err
	}
	if c.Wait {
		if err := waitInForce(ctx, client, offset+1); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(o.out, "accepted as revision %d\n", offset+1)
	return err
}

// waitInForce waits until every member reports that a revision, or a later one,
// is in force.
func waitInForce(ctx context.Context, client *cranadmin.Client, revision uint64) error {
	for {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if s.Revision > revision || (s.Revision == revision && s.MembersInForce == len(s.Members)) {
			return nil
		}
		time.Sleep(pollInterval)
	}
}

type statusCommand struct {
	entryFlags
	JSON bool `help:"Print JSON." name:"json"`
}

// Run prints the status.
func (c *statusCommand) Run(ctx context.Context, o *output) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	s, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(o.out)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	return printStatus(o, s)
}

func printStatus(o *output, s cranadmin.Status) error {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("entry\t%s\tready %v %s", s.Entry, s.Ready, s.NotReady)
	line("revision\t%d\tin force at %d of %d members", s.Revision, s.MembersInForce, len(s.Members))
	line("offset\t%d\tmalformed records %d, moves %d", s.NextOffset, s.MalformedRecords, s.Moves)
	line("")
	line("POOL\tWANTED\tINSTANCES\tAVAILABLE\tFLOOR")
	for _, p := range s.Pools {
		line("%s\t%d\t%d\t%d\t%d", p.Name, p.Wanted, p.Instances, p.Available, p.MinAvailable)
	}
	line("")
	line("INSTANCE\tPOOL\tDOMAIN\tPHASE\tHEALTHY\tBOOTS")
	for _, in := range s.Instances {
		line("%s\t%s\t%s\t%s\t%v\t%d", in.ID, in.Pool, in.Domain, in.Phase, in.Healthy, in.Boots)
	}
	if len(s.Waves) > 0 {
		line("")
		line("WAVE\tPHASE\tPENDING\tACTIVE\tDONE\tFAILED")
	}
	for _, v := range s.Waves {
		line("%d\t%s\t%d\t%d\t%d\t%d", v.ID, v.Phase, v.Pending, len(v.Active), v.Done, len(v.Failed))
	}
	return w.Flush()
}

type drainCommand struct {
	entryFlags
	Instance string `arg:"" help:"Instance to drain and reboot."`
	Cancel   bool   `help:"Return a cordoned instance to service instead."`
}

// Run proposes the reboot, or cancels it.
func (c *drainCommand) Run(ctx context.Context, o *output) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	propose := c.client().Drain
	if c.Cancel {
		propose = c.client().CancelStop
	}
	offset, err := propose(ctx, c.Instance)
	return printAccepted(o, offset, err)
}

type moveCommand struct {
	entryFlags
	Instance string `arg:"" help:"Instance to move."`
	Pool     string `arg:"" help:"Pool that it moves to."`
}

// Run proposes the move.
func (c *moveCommand) Run(ctx context.Context, o *output) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	offset, err := c.client().Move(ctx, c.Instance, c.Pool)
	return printAccepted(o, offset, err)
}

type waveCommand struct {
	entryFlags
	Pools       []string `arg:"" optional:"" help:"Pools to reboot, instance by instance."`
	MaxFailures int      `help:"Failures that the wave tolerates; it halts at one more." default:"1"`
	Resume      uint64   `help:"Resume this halted wave instead."`
	Cancel      uint64   `help:"Cancel this wave instead."`
}

// Run proposes a wave, or resumes or cancels one. The id of a new wave is the offset
// after its record.
func (c *waveCommand) Run(ctx context.Context, o *output) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	client := c.client()
	var offset uint64
	var err error
	switch {
	case c.Resume != 0:
		offset, err = client.ResumeWave(ctx, c.Resume)
	case c.Cancel != 0:
		offset, err = client.CancelWave(ctx, c.Cancel)
	case len(c.Pools) == 0:
		return usageError{errors.New("no pools; name the pools to reboot, or give --resume or --cancel")}
	default:
		offset, err = client.StartWave(ctx, c.Pools, c.MaxFailures)
		if err == nil {
			_, _ = fmt.Fprintf(o.out, "wave %d\n", offset+1)
		}
	}
	return printAccepted(o, offset, err)
}

type explainCommand struct {
	entryFlags
	Subject string   `arg:"" optional:"" help:"Instance or number of a wave; all of them by default. With --log, id of a job."`
	Log     []string `help:"Log of an entry instance of the job service; may be repeated. Prints the history of a job." type:"existingfile" sep:"none"`
}

// Run prints what blocks instances and waves, or the history of a job.
func (c *explainCommand) Run(ctx context.Context, o *output) error {
	if len(c.Log) > 0 {
		return explainJob(o, c.Log, c.Subject)
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	list, err := c.client().Explain(ctx, c.Subject)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		_, err := fmt.Fprintln(o.out, "nothing is blocked")
		return err
	}
	for _, b := range list {
		_, _ = fmt.Fprintf(o.out, "%s: %s; remedy: %s\n", b.Subject, b.Reason, b.Remedy)
	}
	return nil
}

// printAccepted prints the offset of an accepted proposal, or returns its error.
func printAccepted(o *output, offset uint64, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.out, "accepted at offset %d\n", offset)
	return err
}
