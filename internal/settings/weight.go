// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Weight is the weight of a kind of job in the shares of workers.
type Weight struct {
	Kind  string
	Value float64
}

// The range of weights.
const (
	minWeight = 0.01
	maxWeight = 100
)

// String returns the weight as it stands in a settings file.
func (w Weight) String() string {
	return fmt.Sprintf("%s=%g", w.Kind, w.Value)
}

// MarshalText returns the weight as it stands in a settings file.
func (w Weight) MarshalText() ([]byte, error) {
	return []byte(w.String()), nil
}

func setWeights(place *[]Weight, literal any) error {
	list, ok := literal.([]any)
	if !ok {
		return errors.New(`needs a list of weights, such as ["refunds=2"]`)
	}
	weights := make([]Weight, len(list))
	for i, each := range list {
		weight, err := parseWeight(each)
		if err != nil {
			return err
		}
		weights[i] = weight
	}
	*place = weights
	return checkWeights(weights)
}

// checkWeights returns an error if a kind has several weights.
func checkWeights(weights []Weight) error {
	known := make(map[string]bool, len(weights))
	for _, weight := range weights {
		if known[weight.Kind] {
			return errors.Errorf("%s has two weights", weight.Kind)
		}
		known[weight.Kind] = true
	}
	return nil
}

func parseWeight(literal any) (Weight, error) {
	text, _ := literal.(string)
	kind, number, ok := strings.Cut(text, "=")
	value, err := strconv.ParseFloat(number, 64)
	if !ok || kind == "" || err != nil {
		return Weight{}, errors.Errorf(`%v is not a kind with its weight, such as "refunds=2"`, literal)
	}
	if !(value >= minWeight && value <= maxWeight) {
		return Weight{}, errors.Errorf("the weight of %s is not within %g to %g", kind, minWeight, float64(maxWeight))
	}
	return Weight{Kind: kind, Value: value}, nil
}
