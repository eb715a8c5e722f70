package fleet

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// ReadMetrics reads the metrics of the instance with the given operator address.
// Labelled metrics are also summed under their name without labels.
func ReadMetrics(operators string) (map[string]float64, error) {
	response, err := http.Get("http://" + operators + "/metrics")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		out[name] = x
		if bare, _, labelled := strings.Cut(name, "{"); labelled {
			out[bare] += x
		}
	}
	return out, lines.Err()
}
