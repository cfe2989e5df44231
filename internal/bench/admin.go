package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// pollInterval is the resolution of the times that are determined by polling the operators' endpoint.
const pollInterval = 10 * time.Millisecond

var adminClient = &http.Client{Timeout: 2 * time.Second}

// getReport requests a report of a daemon from its operators' endpoint.
func getReport[T any](node *Node, path string) (*T, error) {
	response, err := adminClient.Get("http://" + node.AdminAddress() + path)
	if err != nil {
		return nil, fmt.Errorf("query %s: %w", node.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("query %s: status %d", node.Name, response.StatusCode)
	}
	report := new(T)
	if err := json.NewDecoder(response.Body).Decode(report); err != nil {
		return nil, fmt.Errorf("query %s: %w", node.Name, err)
	}
	return report, nil
}

// waitStatus polls a daemon's status until it satisfies a condition and returns the time of that response.
func waitStatus(ctx context.Context, node *Node, satisfied func(*admin.Status) bool) (time.Time, error) {
	for {
		if status, err := getReport[admin.Status](node, admin.PathStatus); err == nil && satisfied(status) {
			return time.Now(), nil
		}
		if !sleep(ctx, pollInterval) {
			return time.Time{}, fmt.Errorf("wait for %s: %w", node.Name, ctx.Err())
		}
	}
}

// waitLeader polls the voters until one of them leads and returns its index.
func waitLeader(ctx context.Context, voters []*Node) (int, error) {
	for {
		for i, node := range voters {
			if status, err := getReport[admin.Status](node, admin.PathStatus); err == nil && status.Role == admin.RoleLeader {
				return i, nil
			}
		}
		if !sleep(ctx, pollInterval) {
			return 0, fmt.Errorf("wait for a leader: %w", ctx.Err())
		}
	}
}

// waitAccepted waits until the verdict file of a rules file reports the revision as accepted.
func waitAccepted(ctx context.Context, path string, revision int) error {
	prefix := "accepted: revision " + strconv.Itoa(revision) + " "
	for {
		text, _ := os.ReadFile(path + ".verdict")
		if strings.HasPrefix(string(text), prefix) {
			return nil
		}
		if !sleep(ctx, pollInterval/2) {
			return fmt.Errorf("wait for acceptance of revision %d: verdict %q: %w", revision, text, ctx.Err())
		}
	}
}

// controlBytes returns the sizes of the control frames that a daemon has sent and received.
func controlBytes(node *Node) (sent, received float64, err error) {
	dump, err := getReport[admin.Dump](node, admin.PathDump+"?"+admin.ParamSection+"=control")
	if err != nil {
		return 0, 0, err
	}
	for _, section := range dump.Sections {
		for _, row := range section.Rows {
			value, _ := strconv.ParseFloat(row[1], 64)
			switch row[0] {
			case "bytes-to-leader":
				sent = value
			case "bytes-from-leader":
				received = value
			}
		}
	}
	return sent, received, nil
}
