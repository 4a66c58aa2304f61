//! Waiting on a value: woken in order, and no change is missed.

use std::cell::RefCell;
use std::rc::Rc;

use firweir::process::watched::Watched;
use tokio::task::LocalSet;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let runtime = runtime.expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(test));
}

/// Two replays of kalahari-day differed: nine stewards waited on one object, and
/// tokio's watch channel woke them in another order each time.
#[test]
fn those_who_wait_are_woken_in_the_order_in_which_they_came() {
    run(async {
        let value = Watched::new(0);
        let woken = Rc::new(RefCell::new(Vec::new()));
        for number in 0..40 {
            let mut watcher = value.watch();
            let woken = Rc::clone(&woken);
            tokio::task::spawn_local(async move {
                watcher.changed().await;
                woken.borrow_mut().push(number);
            });
        }
        tokio::task::yield_now().await;
        value.set(1);
        while woken.borrow().len() < 40 {
            tokio::task::yield_now().await;
        }
        assert_eq!(*woken.borrow(), (0..40).collect::<Vec<i32>>());
    });
}

/// A change between the last look and the wait must not be slept through.
#[test]
fn a_change_before_the_wait_is_seen() {
    run(async {
        let value = Watched::new(0);
        let mut watcher = value.watch();
        value.set(5);
        watcher.changed().await;
        watcher.until(|now| now == 5).await;
        assert_eq!(value.get(), 5);
    });
}
