//! What a mechanism left out changes.

use sedgepath_core::direct::ablation::Mechanism;
use sedgepath_core::direct::steering::SteeringConfig;

/// Someone leaves a mechanism out to see what it is worth. Were its name to change nothing, the table
/// would say that it is worth nothing, and it would be removed.
#[test]
fn each_mechanism_left_out_is_another_policy() {
    let in_force = SteeringConfig::default();
    for mechanism in Mechanism::ALL {
        assert_ne!(in_force.without(mechanism), in_force, "without {mechanism}");
    }
}

/// The command line knows each mechanism by the name that reports show, and says which there are.
#[test]
fn names_lead_back_to_their_mechanisms() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.to_string().parse(), Ok(mechanism));
    }
    let error = "second-plaice".parse::<Mechanism>().expect_err("a wrong name");
    assert!(error.to_string().contains("second-place"), "{error}");
}
