// Command skylarkd runs one process of skylarkstep. The commands run and check
// take the path of the settings as an argument; run takes the role of the process
// from them. The commands gateway and rank are roles themselves and read the path
// from the environment.
package main

import (
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/config"
	"github.com/skylarkstep/skylarkstep/daemon/role"
	"github.com/skylarkstep/skylarkstep/daemon/signals"
	"github.com/skylarkstep/skylarkstep/engine"
	"github.com/skylarkstep/skylarkstep/engine/openai"
	"github.com/skylarkstep/skylarkstep/engine/rankgroup"
	"github.com/skylarkstep/skylarkstep/engine/service"
	"github.com/skylarkstep/skylarkstep/infra"
	"github.com/skylarkstep/skylarkstep/infra/instancehttp"
	"github.com/skylarkstep/skylarkstep/infra/kvhttp"
	"github.com/skylarkstep/skylarkstep/telemetry"
)

func main() {
	root := &cobra.Command{
		Use:           "skylarkd",
		Short:         "Runs one process of skylarkstep",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(runCommand(), checkCommand(), gatewayCommand(), rankCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "skylarkd:", err)
		os.Exit(1)
	}
}

func runCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "run FILE",
		Short:   "Run the process that the settings describe until SIGTERM",
		Example: "  skylarkd run entry-burgos-1.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			registered := signals.Register()
			s, err := loadSettings(args[0])
			if err != nil {
				return err
			}
			return runRole(registered, s)
		},
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Validate settings without starting",
		Example: "  skylarkd check entry-burgos-1.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := loadSettings(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of %s %s are valid\n", args[0], s.Role, s.Name)
			return errors.WithStack(err)
		},
	}
}

func loadSettings(file string) (*config.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := config.ParseSettings(data)
	return s, errors.Wrap(err, file)
}

func runRole(registered *signals.Signals, s *config.Settings) error {
	peerListener, err := net.Listen("tcp", s.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	httpListener, err := net.Listen("tcp", s.HTTPAddr)
	if err != nil {
		return errors.Wrap(err, "listen for HTTP")
	}
	log := telemetry.NewLogWriter(os.Stderr)
	defer log.Close()
	return role.Run(registered.StopContext(), role.Options{
		Settings:     s,
		Signals:      registered,
		LogOutput:    log,
		PeerListener: peerListener,
		HTTPListener: httpListener,
		KV:           kvhttp.New(s.Platform.KVURL),
		Instances:    newInstanceList(s),
		Model:        newModel(s),
		Service:      newService(s),
		Group:        newGroup(s),
	})
}

func newInstanceList(s *config.Settings) infra.InstanceList {
	if s.Platform.InstanceListURL == "" {
		return nil
	}
	return instancehttp.New(s.Platform.InstanceListURL)
}

func newModel(s *config.Settings) engine.Model {
	if s.Role != config.RoleTarget || s.Target.Kind != config.KindModel {
		return nil
	}
	return openai.New(s.Target.EngineURL)
}

func newGroup(s *config.Settings) engine.Group {
	if s.Role != config.RoleTarget || s.Target.Group == "" {
		return nil
	}
	return rankgroup.New(s.Target.EngineURL)
}

func newService(s *config.Settings) engine.Service {
	if s.Role != config.RoleTarget || s.Target.Kind != config.KindService {
		return nil
	}
	return service.New(s.Target.EngineURL)
}
