package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

func TestExitCodes(t *testing.T) {
	fleet := func(content string) string {
		path := filepath.Join(t.TempDir(), "fleet.toml")
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	cases := []struct {
		args []string
		code int
		text string
	}{
		{[]string{"--help"}, exitStopped, "Exit codes: 0 stopped"},
		{[]string{"platform"}, exitUsage, "--listen"},
		{[]string{"target", "--listen", "127.0.0.1:0"}, exitUsage, "--id"},
		{[]string{"nothing"}, exitUsage, "nothing"},
		{[]string{"platform", "--listen", "127.0.0.1:0", "--fleet", "missing.toml"}, exitUsage, "missing.toml"},
		{[]string{"platform", "--listen", "127.0.0.1:0", "--fleet", fleet("lagSeconds = 5")}, exitUsage, "correct the fleet file"},
		{[]string{"platform", "--listen", "127.0.0.1:0", "--fleet", fleet("[[instances]]\nid = \"x\"")}, exitUsage, "role"},
		{[]string{"platform", "--listen", "127.0.0.1:99999"}, exitFailed, "choose a free address"},
	}
	for _, k := range cases {
		var out strings.Builder
		require.Equal(t, k.code, runCommand(k.args, &out, &out), "%v: %s", k.args, out.String())
		require.Contains(t, out.String(), k.text)
	}
}

// startCommand runs a command line. It returns the address that the command
// listens on, and a channel that receives its exit code.
func startCommand(t *testing.T, args ...string) (string, <-chan int) {
	t.Helper()
	reader, writer := io.Pipe()
	code := make(chan int, 1)
	go func() {
		code <- runCommand(args, writer, writer)
		_ = writer.Close()
	}()
	line, err := bufio.NewReader(reader).ReadString('\n')
	require.NoError(t, err)
	var address string
	_, err = fmt.Sscanf(line, "listening %s", &address)
	require.NoError(t, err)
	return address, code
}

func TestTargetRegistersAndSignalStopsBoth(t *testing.T) {
	platform, platformCode := startCommand(t, "platform", "--listen", "127.0.0.1:0")
	target, targetCode := startCommand(t, "target", "--listen", "127.0.0.1:0", "--id", "t1",
		"--platform", "http://"+platform, "--pool", "web")
	client := cranplatform.NewClient("http://" + platform)
	defer func() { require.NoError(t, client.Close()) }()
	want := cranplatform.Instance{
		ID: "t1", Address: target, Domain: "rack1", DataCentre: "dc1", Pool: "web",
		Phase: cranplatform.PhaseLive, Slots: 8, Connections: 64, Role: "target",
	}
	require.Eventually(t, func() bool {
		list, err := client.Instances(context.Background())
		return err == nil && len(list) == 1 && list[0] == want
	}, 10*time.Second, 10*time.Millisecond)
	waiting := make(chan error, 1)
	go func() {
		_, err := client.Read(context.Background(), "s", 0, 1, 60_000)
		waiting <- err
	}()
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	require.Equal(t, exitStopped, <-platformCode)
	require.Equal(t, exitStopped, <-targetCode)
	require.Error(t, <-waiting, "a stop ends waiting reads")
}
