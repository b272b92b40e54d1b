Feature: an accepted configuration is in force everywhere and never reverts

  Scenario: a watch that went silent is noticed
    # Every open watch goes silent for good while new connections work. A
    # change is accepted; daemons that trust their watch never learn of it.
    Given a configuration world of 6 daemons
    When all open connections to the store go silent and a change is accepted
    Then the change is in force everywhere within 6500 ms

  Scenario: few daemons watch the store, however many there are
    # Every waiting watch is counted by the store. Daemons that follow others
    # still get a change at once.
    Given a configuration world of 24 daemons
    When a configuration change is accepted
    Then the change is in force everywhere within 1000 ms
    And 6 daemons watch the store

  Scenario: followers that lose the daemons they follow get the change
    # Two daemons of a data centre watch the store. The others lose them, and
    # all daemons elsewhere, while the watchers go on and look alive to the
    # rest. Nobody tells the others of a change.
    Given a configuration world of 12 daemons
    When followers are cut from all other daemons and a change is accepted
    Then the change is in force everywhere within 13000 ms

  Scenario: followers of frozen daemons get the change
    # The daemons that watch the store in a data centre freeze together. Their
    # followers' questions are never answered.
    Given a configuration world of 12 daemons
    When the watchers of a data centre freeze and a change is accepted
    Then the change is in force at all others within 13000 ms

  Scenario: a daemon started in an outage takes the highest revision of peers
    # The store is down and a host is replaced. Its daemon has no disk; without
    # its peers it could serve nobody until the store is back.
    Given a configuration world of 6 daemons
    When a daemon is replaced while the store is down
    Then it has the revision of its peers in force within 1000 ms

  Scenario: a damaged part is not half applied
    # One part of a new revision is damaged in the store. A daemon that applies
    # the parts one by one serves some customers by the old limits and some by
    # the new ones.
    Given a configuration world of 3 daemons
    When a part of an accepted change is damaged until it is mended
    Then no daemon had any of the change before it was mended
    And all have the change once it is mended

  Scenario: a slow load of an older revision does not revert a daemon
    # A daemon reads revision 2 from a slow store. Before it has all parts, it
    # takes revision 3 from a peer. Then the last part of revision 2 arrives.
    Given a configuration world of 3 daemons
    When a daemon takes the third revision while it still loads the second
    Then its revisions were 1 and 3, in this order

  Scenario: a daemon that is cut off alone stops bookings, not pipelines
    # One daemon loses the store and all other data centres. It cannot know
    # whether a higher revision was accepted, and the operators chose that it
    # then refuses bookings.
    Given a configuration world of 6 daemons
    When a daemon is cut off from the store and from the other data centres
    Then it refuses bookings as unconfirmed and still runs pipelines
    And it takes bookings again after the cut heals

  Scenario: a store that is down for all does not stop the daemons
    # The store is down for all. Nobody can have had a change accepted, and the
    # daemons of most data centres still agree with each other.
    Given a configuration world of 6 daemons
    When the configuration's store is down for 10 minutes
    Then every daemon is confirmed by its peers
    And after the outage a change is in force everywhere within 3500 ms

  Scenario: a request keeps the revision it began with
    # A request is in its first stage when a change takes its second stage's
    # pool away. Its second stage still runs as the old revision says.
    Given a configuration world of 3 daemons
    When a change removes a pool while a request is before that stage
    Then the request is answered whole and later ones are not found

  Scenario: daemons keep the promises whatever happens to them
    When 15 programs of submissions and faults run
    Then no promise about the configuration is broken

  Scenario: the same programs catch a configuration polled object by object
    When the programs run on the naive configuration
    Then a partial, reverted or crossed configuration is found

  Scenario: a real daemon is replaced in a real outage
    # Processes: the store does not answer, a daemon is killed and another is
    # started in its place. It must serve by what its peers have in force, and
    # a change must reach it once the store is back.
    Given a fleet of 3 daemons whose store goes down after a change
    When a daemon is killed and started again during the outage
    Then it has its peers' revision in force before the store is back
    And a change that is accepted after the outage reaches every process

  Scenario: the measurements of configuration run in their smallest size
    When the configuration's cases are measured in their smallest size
    Then in force and store calls have a row for each column, fault and layout
    And a small change costs a small part of the whole in every layout's row
