//! Initial values of joining neurons, compared with sums computed anew at each join.

use super::*;

/// Computes the initial values of a joining neuron from all neurons.
fn initial_values(neurons: &Neurons, kind: KindId) -> NeuronValues {
    let first_of_kind = neurons.iter().all(|n| n.kind != kind);
    let same_kind = neurons.iter().filter(|n| first_of_kind || n.kind == kind);
    let sum =
        same_kind.fold([0.0; 4], |s, n| [s[0] + n.excitation, s[1] + n.inhibition, s[2] + n.q, s[3] + 1.0]);
    let [excitation, inhibition, q, _] = if sum[3] > 0.0 { sum.map(|s| s / sum[3]) } else { [0.5; 4] };
    NeuronValues { excitation, inhibition, q }
}

/// Joins a worker and checks its initial values bit for bit.
fn join(neurons: &mut Neurons, worker: usize, kind: KindId) {
    let NeuronValues { excitation, inhibition, q } = initial_values(neurons, kind);
    neurons.join(worker, kind);
    let neuron = neurons.last().unwrap();
    let bits = [neuron.excitation, neuron.inhibition, neuron.q].map(f64::to_bits);
    assert_eq!(bits, [excitation, inhibition, q].map(f64::to_bits), "worker {worker} of {kind:?}");
}

#[test]
fn joining_neurons_get_the_exact_mean_of_their_kind_after_any_changes() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut neurons = Neurons::default();
        for worker in 0..400 {
            join(&mut neurons, worker, KindId(rng.usize(0..3)));
            let position = rng.usize(..neurons.len());
            match rng.usize(0..8) {
                0 => neurons[position].excitation += rng.f64(),
                1 => neurons[position].inhibition += rng.f64(),
                2 => neurons.swap_remove(position),
                3 => neurons.iter_mut().for_each(|n| n.q = (n.q * (0.5 + rng.f64())).min(1.0)),
                _ => {}
            }
        }
    }
}

#[test]
fn cloned_neurons_continue_from_the_state_of_the_original() {
    let mut neurons = Neurons::default();
    (0..10).for_each(|worker| join(&mut neurons, worker, KindId(0)));
    neurons[3].excitation += 0.1;
    let mut clone = neurons.clone();
    (10..20).for_each(|worker| join(&mut clone, worker, KindId(worker % 2)));
    (10..20).for_each(|worker| join(&mut neurons, worker, KindId(1)));
}
