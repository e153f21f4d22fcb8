//! What a neuron starts with, against adding all neurons up again at each join.

use super::*;

/// The level that a joining neuron starts with, by all neurons.
fn level_by_all(neurons: &Neurons, kind: KindId) -> Level {
    let first = neurons.iter().all(|n| n.kind != kind);
    let like = neurons.iter().filter(|n| first || n.kind == kind);
    let sum = like.fold([0.0; 4], |s, n| [s[0] + n.plus, s[1] + n.minus, s[2] + n.q, s[3] + 1.0]);
    let [plus, minus, q, _] = if sum[3] > 0.0 { sum.map(|s| s / sum[3]) } else { [0.5; 4] };
    Level { plus, minus, q }
}

/// Joins a worker, and holds what it starts with to the sums, bit for bit.
fn join(neurons: &mut Neurons, worker: usize, kind: KindId) {
    let Level { plus, minus, q } = level_by_all(neurons, kind);
    neurons.join(worker, kind);
    let neuron = neurons.last().unwrap();
    let bits = [neuron.plus, neuron.minus, neuron.q].map(f64::to_bits);
    assert_eq!(bits, [plus, minus, q].map(f64::to_bits), "worker {worker} of {kind:?}");
}

#[test]
fn a_joining_neuron_starts_with_the_mean_of_its_kind_bit_for_bit_whatever_happened_before() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut neurons = Neurons::default();
        for worker in 0..400 {
            join(&mut neurons, worker, KindId(rng.usize(0..3)));
            let other = rng.usize(..neurons.len());
            match rng.usize(0..8) {
                0 => neurons[other].plus += rng.f64(),
                1 => neurons[other].minus += rng.f64(),
                2 => neurons.swap_remove(other),
                3 => neurons.iter_mut().for_each(|n| n.q = (n.q * (0.5 + rng.f64())).min(1.0)),
                _ => {}
            }
        }
    }
}

#[test]
fn copied_neurons_are_joined_from_where_they_were() {
    let mut neurons = Neurons::default();
    (0..10).for_each(|worker| join(&mut neurons, worker, KindId(0)));
    neurons[3].plus += 0.1;
    let mut copy = neurons.clone();
    (10..20).for_each(|worker| join(&mut copy, worker, KindId(worker % 2)));
    (10..20).for_each(|worker| join(&mut neurons, worker, KindId(1)));
}
