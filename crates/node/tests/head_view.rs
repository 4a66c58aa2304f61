//! When a runner may start samples of a submission that another node may have ended.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use firweir_node::duty::BootClock;
use firweir_node::submission::head_view::HeadLimits;
use firweir_node::submission::head_view::HeadView;

const END_APPLIES: Duration = Duration::from_secs(3);

/// A clock that is set by hand.
#[derive(Debug, Default)]
struct ManualClock(AtomicU64);

impl ManualClock {
    fn set(&self, now_ms: u64) {
        self.0.store(now_ms, Ordering::Relaxed);
    }
}

impl BootClock for ManualClock {
    fn since_boot(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

struct Case {
    name: &'static str,
    confirmed_ms: Option<u64>,
    unanswered_ms: Option<u64>,
    now_ms: u64,
    starts: bool,
}

/// Guards against samples of an ended submission that start after an outdated read of its head:
/// on a slow VM, after a suspension, or at a node that took the submission over as it ended.
#[tokio::test(start_paused = true)]
async fn samples_start_only_after_a_recent_head_read() {
    let case = |name, confirmed_ms, now_ms, starts| Case {
        name,
        confirmed_ms,
        unanswered_ms: None,
        now_ms,
        starts,
    };
    let cases = [
        case("just read", Some(10_000), 10_100, true),
        case("between two reads", Some(10_000), 11_900, true),
        case("a read is late", Some(10_000), 12_500, false),
        case("suspended since the last read", Some(10_000), 40_000, false),
        case("never read", None, 500, false),
        Case {
            unanswered_ms: Some(14_000),
            ..case("nobody reaches the store", Some(10_000), 14_100, true)
        },
        Case {
            unanswered_ms: Some(14_000),
            ..case("the store may be back", Some(10_000), 17_000, false)
        },
    ];
    for case in cases {
        let (clock, view) = (ManualClock::default(), HeadView::default());
        let limits = HeadLimits::new(END_APPLIES);
        case.confirmed_ms
            .map(Duration::from_millis)
            .inspect(|sent| view.record_confirmed(*sent));
        case.unanswered_ms
            .map(Duration::from_millis)
            .inspect(|sent| view.record_unreachable(*sent));
        clock.set(case.now_ms);
        let starting = view.wait_until_fresh(&clock, &limits, || false);
        let starts = tokio::time::timeout(Duration::from_secs(1), starting).await;
        assert_eq!(starts.is_ok(), case.starts, "{}", case.name);
    }
}

/// Guards against samples that wait for ever after a read of the head, or after the end.
#[tokio::test(start_paused = true)]
async fn a_head_read_or_the_end_lets_samples_go_on() {
    for ends in [false, true] {
        let (clock, view) = (
            Arc::new(ManualClock::default()),
            Arc::new(HeadView::default()),
        );
        let ended = Arc::new(AtomicU64::new(0));
        clock.set(60_000);
        let waiting = tokio::spawn({
            let (clock, view) = (Arc::clone(&clock), Arc::clone(&view));
            let ended = Arc::clone(&ended);
            async move {
                let limits = HeadLimits::new(END_APPLIES);
                let is_over = || ended.load(Ordering::Relaxed) > 0;
                view.wait_until_fresh(&*clock, &limits, is_over).await;
            }
        });
        view.read_requested().await;
        assert!(!waiting.is_finished());
        if ends {
            ended.store(1, Ordering::Relaxed);
            view.wake_waiters();
        } else {
            view.record_confirmed(Duration::from_secs(60));
        }
        waiting.await.expect("it goes on");
    }
}
