Feature: who decides for a service, and what it knows as it begins

  Scenario: a daemon that comes back does not take its services again
    # A round of restarts stops each daemon in turn. The first choice for a
    # service left, another took over, and ten seconds later the first was back
    # and took the service again: its queue was split twice in place of once.
    Given three daemons, one of which decides for a service
    When it leaves, another one decides, and the first comes back
    Then the other one still decides

  Scenario: two daemons that both say they decide come to one
    # Two parts of a fleet did not hear of each other for a while. Each had a
    # decider. All must choose the same one of them without a message.
    Given three daemons, one of which decides for a service
    When two of them say that they decide for it
    Then all three choose the same one of the two

  Scenario: a large host takes a service from a small one
    # The large hosts were down together and a small one took over. Its link
    # cannot carry the batches of all.
    Given three daemons, one of which decides for a service
    When a small host decides and a large one comes
    Then the large one decides

  Scenario: a new decider knows what results the makers hold
    # The decider died with results in the makers' memory. Its successor knew
    # of none, sent full calls, and got "no room" for their pieces.
    Given a daemon whose request holds 4 of a maker's 4 results
    When another daemon decides for the stage and is told
    Then it sends the maker nothing until they are freed

  Scenario: a new decider sends a subject to the engine that has read it
    # A subject of 13,000 tokens had moved from its home to an engine with less
    # work. The next decider sent it home, to be read again.
    Given a daemon whose requests of a subject were read away from its home
    When another daemon decides for the engines and is told
    Then it places the subject where it was read
    And it counts the request that still runs there

  Scenario: a briefing survives the way between daemons
    Given a daemon whose request holds 4 of a maker's 4 results
    When its briefing is sent as JSON
    Then what is read is what was written, and nonsense is refused

  Scenario: a daemon tells a new decider once
    # Each request asks who decides. Told with each of them, a briefing of some
    # kilobytes would fill small links.
    Given a daemon that asked one decider before
    When another one decides from now on
    Then the new one gets one briefing, and then none

  Scenario: members are counted once for many questions
    # Some thirty questions a request ask who decides. Counted and hashed anew
    # each time, 75 members took a third of each daemon's processor time.
    Given a daemon among 75 members
    When it is asked a thousand times who decides, within 40 ms
    Then the members were listed once
    And a member that leaves is left out 60 ms later

  Scenario: a daemon that has just answered is not asked whether it is alive
    # Beside each other's messages the questions were two fifths of all that
    # daemons sent.
    Given a daemon that waits for another one, which keeps on answering
    When two seconds pass
    Then it asked nothing, and asks once the answers stop

  Scenario: daemons that disagreed come to one decider, and it stays
    # Messages are late, lost or crossed; daemons stop, come back, and take each
    # other for silent. While they disagree two of them batch for one service.
    # Once they hear of each other again all must ask the same one, the one from
    # before if it is still there.
    When the decider machine runs 40 examples
    Then no example breaks what must hold
    And it is broken where the hash alone decides, and where each prefers itself

  Scenario: a daemon says that it decides after a second of it
    # As a decider left, each daemon that took it for itself first said so at once,
    # and a service went back and forth thirteen times in two seconds.
    Given a daemon that is asked to decide for a service
    When it looks again every 200 ms
    Then it says nothing for the first second, and that it decides after it
