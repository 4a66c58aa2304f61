//! Finds a home for a model that has none, or whose home does not answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use futures_util::future::join_all;
use http::Method;
use http::Request;
use http::Uri;
use http_body_util::Full;

use crate::follow::Seeds;
use crate::link::LinkError;
use crate::link::Links;
use crate::roster::HOME_PATH;
use crate::roster::HomeOffer;
use crate::roster::HomeQuestion;
use crate::roster::Roster;
use crate::submission::homes::Homes;
use crate::submission::records::Runner;

/// Time for a seed's answer, which it has in memory.
const SEED_PATIENCE: Duration = Duration::from_millis(250);

/// Asks seeds for homes, or names them where this node is a seed; cheap to clone.
#[derive(Debug, Clone)]
pub struct Finder {
    /// The seeds, and whether this node is one.
    pub seeds: Seeds,
    /// Nodes that ask this one.
    pub roster: Arc<Roster>,
    /// Homes that are known.
    pub homes: Homes,
    /// Connections to seeds.
    pub links: Links,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Events.
    pub journal: Journal,
}

impl Finder {
    /// A home for a model, other than `but`; `None` where nobody knows a better one than the
    /// node that asks.
    pub async fn find(&self, model: &str, but: Option<SocketAddr>) -> Option<Runner> {
        let question = HomeQuestion {
            model: model.to_owned(),
            but,
        };
        let seeds = self.seeds.now();
        let own = seeds.is_seed.then(|| self.answer(&question)).flatten();
        let asked = seeds
            .others
            .iter()
            .map(|seed| self.offer_of(*seed, &question));
        let offers = join_all(asked).await.into_iter().flatten().chain(own);
        let best = offers.max_by(|a, b| a.worth().compare(&b.worth()));
        best.map(|offer| offer.home)
    }

    /// What another seed offers, if it knows any home.
    async fn offer_of(&self, seed: SocketAddr, question: &HomeQuestion) -> Option<HomeOffer> {
        match self.ask(seed, question).await {
            Ok(offer) => offer,
            Err(error) => {
                let model = &question.model;
                self.journal.event(
                    "home_not_named",
                    &[("seed", &seed), ("model", model), ("cause", &error)],
                );
                None
            }
        }
    }

    /// The home that this node names.
    #[must_use]
    pub fn answer(&self, question: &HomeQuestion) -> Option<HomeOffer> {
        let now = self.clock.now();
        let settled = self.homes.settled();
        let offer = self.roster.home_for(now, question, &settled)?;
        self.journal.event(
            "home_named",
            &[
                ("model", &question.model),
                ("home", &offer.home.node),
                ("share", &offer.share),
            ],
        );
        Some(offer)
    }

    async fn ask(
        &self,
        seed: SocketAddr,
        question: &HomeQuestion,
    ) -> Result<Option<HomeOffer>, LinkError> {
        let body = serde_json::to_vec(question).map_err(|_never| LinkError::NotSent)?;
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(HOME_PATH);
        let answer = self.links.call(seed, request, SEED_PATIENCE).await?;
        serde_json::from_slice(answer.body()).map_err(|_malformed| LinkError::Broken)
    }
}
