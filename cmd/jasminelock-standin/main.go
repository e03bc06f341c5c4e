// Command jasminelock-standin runs a stand-in for an outside system as a
// process of its own, on loopback. It is for tests and trials only.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/jasminelock/jasminelock/standin"
	"github.com/jasminelock/jasminelock/standin/engine"
	"github.com/jasminelock/jasminelock/standin/link"
	"github.com/jasminelock/jasminelock/standin/platform"
	"github.com/jasminelock/jasminelock/standin/service"
)

func main() {
	var listen string
	root := &cobra.Command{Use: "jasminelock-standin", Short: "Run a stand-in for an outside system", SilenceUsage: true}
	root.PersistentFlags().StringVar(&listen, "listen", "127.0.0.1:0", "loopback address, ip:port")
	root.AddCommand(platformCommand(&listen), engineCommand(&listen), serviceCommand(&listen), linkCommand(&listen))
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func platformCommand(listen *string) *cobra.Command {
	var limits platform.WeightLimits
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Table service, object store, weight store and host list",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p := platform.New()
			p.SetWeightLimits(limits)
			return serve(*listen, p)
		},
	}
	f := cmd.Flags()
	f.DurationVar(&limits.FetchTime, "weight-fetch-time", 0, "time for fetching an adapter's weights at full speed")
	f.IntVar(&limits.MaxFullSpeed, "weight-full-speed", 0, "fetches that may run at once at full speed, 0 for any")
	f.Float64Var(&limits.MaxStartsPerSecond, "weight-fetches-per-second", 0, "fetches that may start in a second, 0 for any")
	return cmd
}

func engineCommand(listen *string) *cobra.Command {
	var s engine.Settings
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "A model engine",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(*listen, engine.New(s)) },
	}
	f := cmd.Flags()
	f.StringVar(&s.Model, "model", "base", "base model")
	f.IntVar(&s.AdapterSlots, "slots", 4, "adapter slots")
	f.DurationVar(&s.LoadTime, "load-time", 250*time.Millisecond, "time for a load, beside the fetch of the weights")
	f.StringVar(&s.WeightStore, "weight-store", "", "platform's address to fetch weights from, none where it is empty")
	f.DurationVar(&s.FirstTokenTime, "first-token", 20*time.Millisecond, "time to the first token")
	f.DurationVar(&s.TokenTime, "token-time", 5*time.Millisecond, "time for each further token")
	f.DurationVar(&s.ReportLag, "report-lag", 0, "age of the load report")
	f.BoolVar(&s.ChecksFence, "checks-fence", false, "refuse orders with an old fencing number")
	return cmd
}

func serviceCommand(listen *string) *cobra.Command {
	var delay time.Duration
	cmd := &cobra.Command{
		Use:   "service",
		Short: "A plain service",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return serve(*listen, service.New(delay)) },
	}
	cmd.Flags().DurationVar(&delay, "delay", 5*time.Millisecond, "time for a call")
	return cmd
}

func linkCommand(listen *string) *cobra.Command {
	var relay, target string
	cmd := &cobra.Command{
		Use:   "link",
		Short: "A relay of connections between hosts, with a switch to cut it",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			l, err := link.Listen(relay, target)
			if err != nil {
				return err
			}
			defer l.Close()
			return serve(*listen, l)
		},
	}
	cmd.Flags().StringVar(&relay, "relay", "127.0.0.1:0", "loopback address to relay from, ip:port")
	cmd.Flags().StringVar(&target, "target", "", "address to relay to, ip:port")
	return cmd
}

// serve prints the address and serves until a signal.
func serve(listen string, h http.Handler) error {
	s, err := standin.Serve(listen, h)
	if err != nil {
		return err
	}
	fmt.Println(s.URL)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	s.Close()
	return nil
}
