package main

import (
	"net"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/skylarkstep/skylarkstep/platform"
	"github.com/skylarkstep/skylarkstep/ranks"
)

func rankCommand() *cobra.Command {
	return platformCommand("rank", "Run beside a rank of a group on the users' platform", runRank)
}

func runRank(p *platformProcess) error {
	s, log := p.settings, p.log
	if s.RunnerAddr == "" {
		return errors.New("settings do not name the runner of a rank")
	}
	listener, err := net.Listen("tcp", s.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	defer p.startReloads(func(*platform.Settings) {})()
	log.Info("started", "rank", s.RunnerAddr, "back_end", s.RunnerBackend)
	err = ranks.RunAgent(p.signals.StopContext(), ranks.AgentOptions{
		Instance: s.Instance, DataCentre: s.DataCentre, RankAddr: s.RunnerAddr, Backend: s.RunnerBackend,
		PeerAddr: s.PeerAddr, KV: platform.NewStore(s.StoreURL), Records: platform.Records{},
		Engine: platform.NewRanks(), StopTimeout: s.StopTimeout, Log: log,
	}, listener)
	log.Info("ended")
	return err
}
