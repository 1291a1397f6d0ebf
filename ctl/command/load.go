package command

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/ctl/dev"
	"github.com/skylarkstep/skylarkstep/ctl/fleet"
	"github.com/skylarkstep/skylarkstep/ctl/load"
	enginestandin "github.com/skylarkstep/skylarkstep/engine/standin"
	"github.com/skylarkstep/skylarkstep/errkind"
)

// Behaviour of the stand-ins under load. A model engine runs 16 requests at a
// time and takes 20 ms to the first token and 5 ms for each further token.
const (
	standinFirstTokenDelay   = 20 * time.Millisecond
	standinTokenInterval     = 5 * time.Millisecond
	standinConcurrency       = 16
	standinServiceTime       = 5 * time.Millisecond
	standinWarmUpConcurrency = 4
	standinWarmUp            = 5 * time.Second
)

// loadOptions holds the flags of the load command.
type loadOptions struct {
	scenario string
	config   string
	entries  []string
	key      string
	report   string
	plot     string
	strict   bool
	seeds    uint64
	log      string
}

func loadCommand() *cobra.Command {
	var o loadOptions
	cmd := &cobra.Command{
		Use:   "load --scenario FILE (--config FILE | --entry URL)",
		Short: "Send load with timed faults and compare what callers saw with what back ends executed",
		Long: "Runs a scenario against a dev deployment of a configuration file, or against the entries of a real\n" +
			"deployment. Arrivals are open-loop and generated from the seed of the scenario; latencies are measured\n" +
			"from the scheduled arrival. With --strict the command fails if a call ran twice, was lost or interrupted,\n" +
			"or was wrongly reported as not run. A scenario with the field\n" +
			"fleet starts gateways of the users' platform in this process instead, against targets that misbehave.",
		Example: "  skylarkctl load --scenario scenarios/zone-out.json --config examples/cabina-norte.json\n" +
			"  skylarkctl load --scenario scenarios/steady.json --entry http://10.0.0.1:8080 --key KEY --report r.json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runLoad(cmd.Context(), cmd.OutOrStdout(), o)
		},
	}
	cmd.Flags().StringVar(&o.scenario, "scenario", "", "scenario file (required)")
	cmd.Flags().StringVar(&o.config, "config", "", "configuration of a dev deployment to start")
	cmd.Flags().StringSliceVar(&o.entries, "entry", nil, "base URL of an entry of a real deployment, may be repeated")
	cmd.Flags().StringVar(&o.key, "key", "", "customer key for a real deployment")
	cmd.Flags().StringVar(&o.report, "report", "", "file for the report in JSON")
	cmd.Flags().StringVar(&o.plot, "plot", "", "file for the plot (.png or .svg)")
	cmd.Flags().BoolVar(&o.strict, "strict", false, "fail if a call ran twice, was lost or interrupted, or was wrongly reported as not run")
	cmd.Flags().Uint64Var(&o.seeds, "seeds", 1, "with gateways of the users' platform: number of seeds to play, from that of the scenario")
	cmd.Flags().StringVar(&o.log, "log", "", "with gateways of the users' platform: file for their log")
	_ = cmd.MarkFlagRequired("scenario")
	return cmd
}

func runLoad(ctx context.Context, out io.Writer, o loadOptions) error {
	data, err := os.ReadFile(o.scenario)
	if err != nil {
		return errors.Wrap(err, "read scenario")
	}
	if fleet.IsScenario(data) {
		return runFleet(ctx, out, data, o)
	}
	s, err := load.ParseScenario(data)
	if err != nil {
		return errors.Wrap(err, o.scenario)
	}
	deployment := load.Deployment{Entries: o.entries, Key: func(string) string { return o.key }}
	if (o.config == "") == (len(o.entries) == 0) {
		return errkind.New(errkind.InvalidRequest, "give either --config or --entry")
	}
	if o.config != "" {
		d, err := startDevDeployment(ctx, o.config)
		if err != nil {
			return err
		}
		defer d.Close()
		deployment = devLoadDeployment(d)
	}
	rep, err := load.Run(ctx, s, deployment, out)
	if err != nil {
		return errors.Wrap(err, "run")
	}
	if err := rep.WriteText(out); err != nil {
		return errors.WithStack(err)
	}
	if err := saveReport(rep, o); err != nil {
		return err
	}
	if o.strict && !rep.GuaranteesHeld() {
		return errors.New("the run violated a guarantee")
	}
	return nil
}

// runFleet plays a scenario with gateways of the users' platform, for each seed.
func runFleet(ctx context.Context, out io.Writer, data []byte, o loadOptions) error {
	s, err := fleet.ParseScenario(data)
	if err != nil {
		return errors.Wrap(err, o.scenario)
	}
	var logOutput io.Writer
	if o.log != "" {
		file, err := os.Create(o.log)
		if err != nil {
			return errors.Wrap(err, "create the log")
		}
		defer func() { _ = file.Close() }()
		logOutput = file
	}
	var failed []uint64
	for range o.seeds {
		rep, err := fleet.Run(ctx, s, logOutput)
		if err != nil {
			return errors.Wrapf(err, "seed %d", s.Seed)
		}
		if err := rep.WriteText(out); err != nil {
			return err
		}
		if !rep.Held() {
			failed = append(failed, s.Seed)
		}
		s.Seed++
	}
	if o.strict && len(failed) > 0 {
		return errors.Errorf("promises were broken with the seeds %v", failed)
	}
	return nil
}

// saveReport writes the report and the plot to the files that the options name.
func saveReport(rep *load.Report, o loadOptions) error {
	if o.report != "" {
		data, err := json.MarshalIndent(rep, "", "  ")
		if err != nil {
			return errors.WithStack(err)
		}
		if err := os.WriteFile(o.report, append(data, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	if o.plot != "" {
		return rep.Plot(o.plot)
	}
	return nil
}

// startDevDeployment starts a dev deployment of a configuration file and waits
// until it is ready.
func startDevDeployment(ctx context.Context, file string) (*dev.Deployment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	c, err := config.ParseConfig(data)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	d, err := dev.Start(ctx, dev.Options{
		Config: c,
		Model: enginestandin.ModelOptions{
			FirstTokenDelay: standinFirstTokenDelay, TokenInterval: standinTokenInterval, Concurrency: standinConcurrency,
			WarmUpConcurrency: standinWarmUpConcurrency, WarmUp: standinWarmUp, ResponseTokens: 1 << 20,
		},
		Service: enginestandin.ServiceOptions{Latency: standinServiceTime},
	})
	if err != nil {
		return nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.WaitReady(readyCtx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// devLoadDeployment adapts a dev deployment to a load run.
func devLoadDeployment(d *dev.Deployment) load.Deployment {
	return load.Deployment{
		Entries:      d.EntryURLs(),
		Key:          d.CustomerKey,
		Executions:   d.Executions,
		LastNewWork:  d.LastNewWork,
		TriggerEvent: func(ctx context.Context, e load.Event) error { return triggerDevEvent(ctx, d, e) },
	}
}

// triggerDevEvent carries out a timed event of a scenario in a dev deployment.
// A planned stop goes on in the background.
func triggerDevEvent(ctx context.Context, d *dev.Deployment, e load.Event) error {
	switch e.Kind {
	case load.ZoneOut, load.ZoneIn:
		return d.SetZone(ctx, e.DataCentre, e.Kind == load.ZoneOut)
	case load.KillProcess:
		return d.Kill(e.Process)
	case load.StartProcess:
		return d.StartProcess(e.Process)
	case load.StopProcess:
		go func() { _ = d.Stop(ctx, e.Process) }()
		return nil
	case load.StallStreams:
		return d.Stall(e.Process, max(e.Value, 1))
	case load.RestartWarmUp:
		return d.RestartWarmUp(e.Process)
	case load.RefuseRequests:
		return d.Refuse(e.Process)
	case load.DropResponses:
		return d.DropResponses(e.Process)
	case load.ClearFaults:
		return d.ClearFaults(e.Process)
	case load.StoreDown, load.StoreUp:
		d.KV.SetStall(e.Kind == load.StoreDown)
		return nil
	default:
		return errkind.New(errkind.InvalidRequest, "event kind %q is not known", e.Kind)
	}
}
