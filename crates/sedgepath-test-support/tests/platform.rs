//! The object store and the VM list as a caller sees them over HTTP.

use std::net::SocketAddr;

use sedgepath_platform::{HttpPlatform, ObjectStore, PlatformError, VmEntry, VmList, VmState};
use sedgepath_test_support::memory::Outage;
use sedgepath_test_support::platform::PlatformStandIn;

fn vm(name: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        domain: "gulfside-a".into(),
        peers: SocketAddr::from(([127, 0, 0, 1], 7000)),
        state: VmState::Live,
    }
}

fn states(list: &dyn VmList) -> Vec<(Box<str>, VmState)> {
    let list = list.list().expect("listed");
    list.vms.into_iter().map(|vm| (vm.name, vm.state)).collect()
}

#[test]
fn an_object_is_whole_or_absent_and_a_lost_answer_leaves_it_stored() {
    // An object larger than the library's limit for unchunked answers is stored and read back.
    // Then its replacement's answer is lost: the caller hears "unknown" and finds the new bytes.
    // Through an outage the caller hears "unavailable"; after it the object is still there.
    let platform = PlatformStandIn::new().expect("the stand-in starts");
    let client = HttpPlatform::new(platform.base_url());
    let guide: Vec<u8> = (0..200_000_u32).map(|number| number as u8).collect();
    assert_eq!(client.get("guides/1").expect("answered"), None);
    client.put("guides/1", &guide).expect("stored");
    assert_eq!(client.get("guides/1").expect("answered"), Some(guide));
    platform.state().lose_next_answers(1);
    let lost = client.put("guides/1", b"new");
    assert!(matches!(lost, Err(PlatformError::Unknown)), "{lost:?}");
    platform.state().set_outage(Outage::Refusing);
    let down = client.get("guides/1");
    assert!(matches!(down, Err(PlatformError::Unavailable)), "{down:?}");
    platform.state().set_outage(Outage::None);
    assert_eq!(client.get("guides/1").expect("answered").as_deref(), Some(&b"new"[..]));
    client.delete("guides/1").expect("removed");
    assert_eq!(client.get("guides/1").expect("answered"), None);
    let counts = platform.state().counts();
    assert_eq!((counts.object_writes, counts.object_reads), (3, 5));
}

#[test]
fn the_vm_list_lags_and_says_so() {
    // Two VMs are listed; the list freezes; one begins to leave and the other is removed.
    // The caller sees both live, with the age of the frozen list, until it thaws. Under a lag that
    // reaches back before the first VM it sees an empty list, again with its age.
    let platform = PlatformStandIn::new().expect("the stand-in starts");
    let client = HttpPlatform::new(platform.base_url());
    let state = platform.state();
    state.put_vm(vm("vm-1"));
    state.put_vm(vm("vm-2"));
    state.freeze_vm_list();
    let frozen = client.list().expect("listed");
    state.set_vm_state("vm-1", VmState::Leaving);
    state.remove_vm("vm-2");
    assert_eq!(client.list().expect("listed"), frozen);
    assert_eq!(frozen.vms, [vm("vm-1"), vm("vm-2")]);
    state.thaw_vm_list();
    assert_eq!(states(&client), [("vm-1".into(), VmState::Leaving)]);
    let current = client.list().expect("listed");
    state.set_vm_list_lag_ms(3_600_000);
    let lagging = client.list().expect("listed");
    assert_eq!(lagging.vms, []);
    assert!(lagging.as_of_ms < current.as_of_ms);
}
