package main

import (
	"bytes"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// fleetFile is the content of the TOML file of --fleet. A missing duration keeps
// the default of cranstandin.
type fleetFile struct {
	LagMs      *int64          `toml:"lagMs"`
	NoticeMs   *int64          `toml:"noticeMs"`
	RebootMs   *int64          `toml:"rebootMs"`
	ReassignMs *int64          `toml:"reassignMs"`
	LeaveMs    *int64          `toml:"leaveMs"`
	GoneMs     *int64          `toml:"goneMs"`
	Instances  []fleetInstance `toml:"instances"`
}

// fleetInstance is an instance that is listed from the start.
type fleetInstance struct {
	ID          string `toml:"id"`
	Address     string `toml:"address"`
	Domain      string `toml:"domain"`
	DataCentre  string `toml:"dataCentre"`
	Pool        string `toml:"pool"`
	Slots       int    `toml:"slots"`
	Connections int    `toml:"connections"`
	Role        string `toml:"role"`
}

// loadFleet reads a fleet file. For an empty path it returns the default fleet,
// which has no instances.
func loadFleet(path string) (fleetFile, error) {
	var f fleetFile
	if path == "" {
		return f, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return f, eris.Wrap(err, "read the fleet file; correct --fleet")
	}
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return f, eris.Wrapf(err, "correct the fleet file %s", path)
	}
	return f, nil
}

// options returns the fleet options for the durations that the file sets.
func (f fleetFile) options() []cranstandin.FleetOption {
	settings := []struct {
		ms     *int64
		option func(time.Duration) cranstandin.FleetOption
	}{
		{f.LagMs, cranstandin.WithListLag},
		{f.NoticeMs, cranstandin.WithNoticeTime},
		{f.RebootMs, cranstandin.WithRebootTime},
		{f.ReassignMs, cranstandin.WithReassignTime},
		{f.LeaveMs, cranstandin.WithLeaveTime},
		{f.GoneMs, cranstandin.WithGoneTime},
	}
	var options []cranstandin.FleetOption
	for _, s := range settings {
		if s.ms != nil {
			options = append(options, s.option(time.Duration(*s.ms)*time.Millisecond))
		}
	}
	return options
}

// register adds the file's instances to a fleet.
func (f fleetFile) register(fleet *cranstandin.Fleet) error {
	for _, i := range f.Instances {
		instance := cranplatform.Instance{
			ID:          i.ID,
			Address:     i.Address,
			Domain:      i.Domain,
			DataCentre:  i.DataCentre,
			Pool:        i.Pool,
			Slots:       i.Slots,
			Connections: i.Connections,
			Role:        i.Role,
		}
		if err := fleet.Add(instance, nil); err != nil {
			return err
		}
	}
	return nil
}
