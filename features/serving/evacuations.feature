Feature: an evacuated data centre receives no new work

  Scenario: a data centre is evacuated and taken back
    # Guards against work that was chosen before the evacuation and sent after it.
    Given replicas in three data centres
    When one data centre is evacuated
    Then none of its replicas is usable, nor one that was chosen before
    And they are usable and cold once it is taken back

  Scenario: two data centres are evacuated and one is taken back
    Given replicas in three data centres
    When two data centres are evacuated and the first is taken back
    Then only the replicas of the second are not usable

  Scenario: a replica that joins an evacuated data centre is not used
    # Guards against a release that goes on during an evacuation.
    Given replicas in three data centres
    When one data centre is evacuated
    And another replica is listed there and the list is read again
    Then none of its replicas is usable, nor one that was chosen before

  Scenario: a deployment is not ready before the evacuations are known
    # Guards against a daemon that starts during an evacuation and sends its
    # first requests there.
    Given replicas in three data centres, and no word of evacuations yet
    Then the deployment is ready only once they are known

  Scenario: subjects leave an evacuated data centre
    # Guards against subjects that stay with the engine that caches them.
    Given a decider with engines in three data centres
    When the data centre of a subject's engine is evacuated
    Then the subject is placed in another data centre, and stays there

  Scenario: an evacuation with no other data centre left
    Given replicas in three data centres
    When all three are evacuated
    Then no replica is usable
